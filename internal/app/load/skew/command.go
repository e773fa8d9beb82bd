package skew

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalbend/internal/app/load/output"
)

const (
	short = "Balance of experts across ranks, in virtual time"
	long  = "Compares never moving, repacking fully in each interval and the planner on one drifting load."
)

// command is the subcommand's options and its action.
type command struct {
	Options
}

// Register adds the subcommand to the parser.
func Register(parser *flags.Parser) error {
	_, err := parser.AddCommand("skew", short, long, &command{})
	return errors.Wrap(err, "add skew")
}

// Execute runs the experiment and prints its figures.
func (c *command) Execute([]string) error {
	results, err := Run(c.Options)
	if err != nil {
		return err
	}
	if c.Live {
		live, err := RunLive(context.Background(), c.Options)
		if err != nil {
			return err
		}
		results = append(results, live)
	}
	if c.Plot != "" {
		if err := draw(c.Options, results); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(os.Stdout, c.Options, results)
	}
	return printTable(os.Stdout, results)
}

// figures is the JSON form of a run.
type figures struct {
	Seed     uint64   `json:"seed"`
	Ranks    int      `json:"ranks"`
	Experts  int      `json:"experts"`
	Layers   int      `json:"layers"`
	Slots    int      `json:"slots"`
	Steps    int      `json:"steps"`
	Drift    string   `json:"drift"`
	Policies []Result `json:"policies"`
}

func printJSON(w io.Writer, o Options, results []Result) error {
	return output.JSON(w, figures{o.Seed, o.Ranks, o.Experts, o.Layers, o.slots(), o.Steps, o.Drift, results})
}

func printTable(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "policy\tmean skew\tp99 skew\tlower bound\tmoved GB\tmoves\tlate moves\treturned\tstall ms\tplan ms p99\tstep ms\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%.4f\t%.4f\t%.4f\t%.1f\t%d\t%d\t%d\t%.0f\t%.3f\t%.3f\t\n",
			r.Policy, r.MeanSkew, r.P99Skew, r.LowerBound, r.MovedBytes/1e9, r.Moves, r.LateMoves, r.Returns, r.StallMS, r.PlanP99MS, r.StepMeanMS)
	}
	return errors.Wrap(table.Flush(), "print figures")
}
