package departure

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Result holds the results of all runs of the command.
type Result struct {
	Seed uint64 `json:"seed"`
	Runs []Run  `json:"runs"`
}

// Run holds the result of one variant under one mode of departure.
type Run struct {
	Variant               string `json:"variant"`
	Mode                  string `json:"mode"`
	Cells                 []Cell `json:"cells"`
	Lost                  int64  `json:"lost"`                       // requests whose callers do not know whether they ran, and answered keys that did not run
	Doubled               int64  `json:"doubled"`                    // keys that ran more than once
	LastNewWorkAfterOutMS int64  `json:"last_new_work_after_out_ms"` // from the setting that takes the domain out to its last new request
	ColdOverrun           int    `json:"cold_overrun"`               // largest number of requests above a cold target's limit
	FellOver              int    `json:"fell_over"`                  // crashes of overloaded cold engines
}

// Cell holds the figures of one class in one phase. Latencies run from the time
// at which a request was due, its caller's retries included, to its first token
// or, for calls of services, to its answer.
type Cell struct {
	Class        Class   `json:"class"`
	Phase        Phase   `json:"phase"`
	Offered      int64   `json:"offered"`
	P50MS        float64 `json:"p50_ms"`
	P95MS        float64 `json:"p95_ms"`
	P99MS        float64 `json:"p99_ms"`
	BetweenP95MS float64 `json:"between_tokens_p95_ms"` // 0 for calls of services
	Refused      int64   `json:"refused"`
	Failed       int64   `json:"failed"` // including refused requests
	Lost         int64   `json:"lost"`
	Goodput      float64 `json:"goodput"` // complete answers over offered requests
}

func (c *cell) report(class Class, phase Phase) Cell {
	reported := Cell{
		Class:        class,
		Phase:        phase,
		Offered:      c.offered,
		P50MS:        quantileMS(c.firstToken, 50),
		P95MS:        quantileMS(c.firstToken, 95),
		P99MS:        quantileMS(c.firstToken, 99),
		BetweenP95MS: quantileMS(c.tokenGaps, 95),
		Refused:      c.refused,
		Failed:       c.refused + c.outcomeUnknown,
		Lost:         c.outcomeUnknown,
	}
	if c.offered > 0 {
		reported.Goodput = float64(c.answered) / float64(c.offered)
	}
	return reported
}

func quantileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / float64(time.Millisecond)
}

func (s *samples) report() []Cell {
	s.mu.Lock()
	defer s.mu.Unlock()
	var cells []Cell
	for _, class := range classes {
		for _, phase := range reportedPhases {
			if c := s.cells[class][phase]; c.offered > 0 {
				cells = append(cells, c.report(class, phase))
			}
		}
	}
	return cells
}

func (r *Result) print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "variant\tmode\tclass\tphase\toffered\tp50 ms\tp95 ms\tp99 ms\tbetween p95 ms\trefused\tfailed\tgoodput\t")
	for _, run := range r.Runs {
		for _, c := range run.Cells {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%.3f\t\n", run.Variant, run.Mode, c.Class, c.Phase,
				c.Offered, c.P50MS, c.P95MS, c.P99MS, c.BetweenP95MS, c.Refused, c.Failed, c.Goodput)
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print result")
	}
	for _, run := range r.Runs {
		if _, err := fmt.Fprintf(out, "%s, %s: %d lost, %d doubled, last new work %d ms after out, cold overrun %d, fell over %d\n",
			run.Variant, run.Mode, run.Lost, run.Doubled, run.LastNewWorkAfterOutMS, run.ColdOverrun, run.FellOver); err != nil {
			return errors.Wrap(err, "print result")
		}
	}
	return nil
}
