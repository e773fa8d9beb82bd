package affinity

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalbend/internal/app/load/output"
)

// Command is the subcommand with its flags.
type Command struct {
	Seed     uint64  `long:"seed" default:"1" description:"seed of all random numbers"`
	Entries  int     `long:"entries" default:"6" description:"entries"`
	Targets  int     `long:"targets" default:"16" description:"targets"`
	Slots    int     `long:"slots" default:"8" description:"requests that a target runs at once"`
	Prefixes int     `long:"prefixes" default:"400" description:"prefixes in use"`
	Cached   int     `long:"cached" default:"40" description:"prefixes that a target's cache holds"`
	Zipf     float64 `long:"zipf" default:"1.1" description:"exponent of the popularity of prefixes, above 1"`
	Rate     float64 `long:"rate" default:"160" description:"requests a second"`
	HitMS    float64 `long:"hit-ms" default:"250" description:"mean time of a request whose prefix is cached"`
	MissMS   float64 `long:"miss-ms" default:"500" description:"mean time of any other request"`
	LossS    float64 `long:"loss-s" default:"60" description:"mean time after which a target loses its cache"`
	Seconds  float64 `long:"seconds" default:"300" description:"virtual time"`
	JSON     bool    `long:"json" description:"print JSON"`
}

// Register adds the subcommand to a parser.
func Register(parser *flags.Parser) error {
	_, err := parser.AddCommand("affinity", "Measure prefix affinity against random and plain hashing",
		"Runs the picking of targets in virtual time over engines with limited prefix caches.", &Command{})
	return errors.Wrap(err, "register affinity")
}

// Result holds the figures of one policy for picking targets.
type Result struct {
	Policy    string  `json:"policy"`
	HitRate   float64 `json:"hit_rate"`
	Imbalance float64 `json:"imbalance"` // busiest target's mean running requests over the mean of all
	P50MS     float64 `json:"p50_ms"`    // from arrival to end
	P95MS     float64 `json:"p95_ms"`
	Waited    float64 `json:"waited_part"` // fraction of the requests that found no free slot
}

// Execute runs the experiment and prints its results.
func (c *Command) Execute([]string) error {
	results, err := c.Run()
	if err != nil {
		return err
	}
	return output.Print(c.JSON, results, func(w io.Writer) error { return printTable(w, results) })
}

func printTable(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "policy\thit rate\timbalance\tp50 ms\tp95 ms\twaited\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.1f\t%.1f\t%.3f\t\n", r.Policy, r.HitRate, r.Imbalance, r.P50MS, r.P95MS, r.Waited)
	}
	return errors.Wrap(table.Flush(), "print result")
}

func (c *Command) check() error {
	if c.Entries < 1 || c.Targets < 1 || c.Slots < 1 || c.Prefixes < 1 || c.Cached < 1 {
		return errors.New("affinity: entries, targets, slots, prefixes and cached must be at least 1")
	}
	if c.Zipf <= 1 || c.Rate <= 0 || c.HitMS <= 0 || c.MissMS <= 0 || c.LossS <= 0 || c.Seconds <= 0 {
		return errors.New("affinity: zipf must be above 1, rates and times above 0")
	}
	return nil
}
