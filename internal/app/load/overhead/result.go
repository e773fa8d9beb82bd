package overhead

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Result holds the measured figures. Latencies run from the time at which a
// request was due.
type Result struct {
	Rate              float64 `json:"rate"`
	Requests          int64   `json:"requests"` // sent over each path
	Tokens            int     `json:"tokens"`
	Stream            bool    `json:"stream"`
	DirectFailed      int64   `json:"direct_failed"`
	ThroughFailed     int64   `json:"through_failed"`
	DirectP50MS       float64 `json:"direct_p50_ms"`
	DirectP99MS       float64 `json:"direct_p99_ms"`
	ThroughP50MS      float64 `json:"through_p50_ms"`
	ThroughP99MS      float64 `json:"through_p99_ms"`
	AddedP50MS        float64 `json:"added_p50_ms"`
	AddedP99MS        float64 `json:"added_p99_ms"`
	MaxRPSDirect      float64 `json:"max_rps_direct"`
	MaxRPSThrough     float64 `json:"max_rps_through"`
	EntryCPUPerCallUS float64 `json:"entry_cpu_us_per_request"` // 0 without --entry-operators
	AgentCPUPerCallUS float64 `json:"agent_cpu_us_per_request"` // 0 without --agent-operators
}

func (r *Result) print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "way\tfailed\tp50 ms\tp99 ms\thighest rate\t")
	_, _ = fmt.Fprintf(table, "direct\t%d\t%.3f\t%.3f\t%.0f/s\t\n", r.DirectFailed, r.DirectP50MS, r.DirectP99MS, r.MaxRPSDirect)
	_, _ = fmt.Fprintf(table, "through\t%d\t%.3f\t%.3f\t%.0f/s\t\n", r.ThroughFailed, r.ThroughP50MS, r.ThroughP99MS, r.MaxRPSThrough)
	_, _ = fmt.Fprintf(table, "added\t\t%.3f\t%.3f\t\t\n", r.AddedP50MS, r.AddedP99MS)
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print result")
	}
	_, err := fmt.Fprintf(out, "%d requests each way at %.0f/s; processor time a request: entry %.0f us, agent %.0f us\n",
		r.Requests, r.Rate, r.EntryCPUPerCallUS, r.AgentCPUPerCallUS)
	return errors.Wrap(err, "print result")
}
