package control

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalbend/internal/app/load/output"
)

// Command is the subcommand with its flags.
type Command struct {
	Seed              uint64        `long:"seed" default:"1" description:"seed of the changes"`
	Nodes             int           `long:"nodes" default:"24" description:"entries"`
	Targets           int           `long:"targets" default:"96" description:"targets, each with an agent"`
	Accounts          int           `long:"accounts" default:"1000" description:"client accounts in the settings"`
	Domains           int           `long:"domains" default:"6" description:"failure domains"`
	Idle              time.Duration `long:"idle" default:"20s" description:"time measured without changes"`
	Changes           int           `long:"changes" default:"20" description:"changes measured, one after the other"`
	KeepAliveInterval time.Duration `long:"keep-alive" default:"10s" description:"time between probes of an idle session, at both ends"`
	JSON              bool          `long:"json" description:"print JSON"`
}

// Register adds the subcommand to a parser.
func Register(parser *flags.Parser) error {
	_, err := parser.AddCommand("control", "Measure what the settings cost each node",
		"Runs real entries and agents' receivers in one process over loopback.", &Command{})
	return errors.Wrap(err, "register control")
}

// Link holds the traffic over all connections of one kind: payload bytes of TCP
// in both directions, without the headers of TCP and IP.
type Link struct {
	Connections          int64   `json:"connections"`
	IdleBytesPerSecond   float64 `json:"idle_bytes_per_second"`   // all connections together
	IdlePacketsPerSecond float64 `json:"idle_packets_per_second"` // reads and writes at the accepting end, all connections together
	BytesPerChange       float64 `json:"bytes_per_change"`        // all connections together
}

// Result holds the measured costs.
type Result struct {
	Seed     uint64 `json:"seed"`
	Nodes    int    `json:"nodes"`
	Targets  int    `json:"targets"`
	Accounts int    `json:"accounts"`

	KeepAliveMS int64 `json:"keep_alive_ms"`

	Platform Link `json:"platform"` // entry to platform
	Peers    Link `json:"peers"`    // entry to entry
	Agents   Link `json:"agents"`   // entry to agent

	IdleBytesPerSecondPerNode float64 `json:"idle_bytes_per_second_per_node"` // an entry's share, both directions
	BytesPerChangePerNode     float64 `json:"bytes_per_change_per_node"`
	BytesPerSecondPerNode     float64 `json:"bytes_per_second_per_node"` // with 2,900 changes a day (changesPerDay)
	IdlePacketsPerNode        float64 `json:"idle_packets_per_second_per_node"`
	IdleCPUPercentPerNode     float64 `json:"idle_cpu_percent_per_node"` // of a core; agents and stand-in included
	CPUMSPerChange            float64 `json:"cpu_ms_per_change"`         // of all nodes, agents and the stand-in
	ResidentBytesPerNode      float64 `json:"resident_bytes_per_node"`   // heap and stacks in use; agents included
	StateBytes                float64 `json:"state_bytes"`               // heap of one node's settings
	CatalogBytes              float64 `json:"catalog_bytes"`             // heap of an entry's tables built from them
	StartMS                   float64 `json:"start_ms"`                  // until all nodes and agents had settings
	InForceMSP50              float64 `json:"in_force_ms_p50"`           // from the write of a change until all nodes and agents have it
	InForceMSMax              float64 `json:"in_force_ms_max"`
}

// Execute runs the experiment and prints its result.
func (c *Command) Execute([]string) error {
	result, err := c.Run(context.Background())
	if err != nil {
		return err
	}
	return output.Print(c.JSON, result, result.print)
}

func (r Result) print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "nodes\ttargets\taccounts\tB/s/node\tB/change/node\tCPU %/node\tresident MB/node\tin force ms\t")
	_, _ = fmt.Fprintf(table, "%d\t%d\t%d\t%.0f\t%.0f\t%.3f\t%.2f\t%.0f\t\n", r.Nodes, r.Targets, r.Accounts,
		r.IdleBytesPerSecondPerNode, r.BytesPerChangePerNode, r.IdleCPUPercentPerNode, r.ResidentBytesPerNode/1e6, r.InForceMSMax)
	return errors.Wrap(table.Flush(), "print result")
}
