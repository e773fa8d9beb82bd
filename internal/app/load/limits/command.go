package limits

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
	Seed       uint64  `long:"seed" default:"1" description:"seed of all random numbers"`
	Entries    int     `long:"entries" default:"6" description:"number of entries"`
	Limit      float64 `long:"limit" default:"60" description:"limit in requests a second"`
	Seconds    int     `long:"seconds" default:"180" description:"virtual time of each scenario; the cut and the flood take the middle third"`
	DelayMS    int     `long:"delay-ms" default:"50" description:"delay of a report"`
	LossPart   float64 `long:"loss" default:"0.02" description:"part of reports that is lost"`
	Targets    int     `long:"targets" default:"8" description:"targets in the flood"`
	Slots      int     `long:"slots" default:"8" description:"concurrent requests of a target"`
	ServiceMS  float64 `long:"service-ms" default:"500" description:"mean time of a request at a target"`
	Accounts   int     `long:"accounts" default:"9" description:"accounts beside the flooding one"`
	OthersRate float64 `long:"others-rate" default:"36" description:"requests a second of all other accounts together"`
	FloodRate  float64 `long:"flood-rate" default:"400" description:"requests a second of the flooding account"`
	CreditPart float64 `long:"credit-part" default:"0.7" description:"part of what the capacity could generate that credits pay for"`
	JSON       bool    `long:"json" description:"print JSON"`
}

// Register adds the subcommand to a parser.
func Register(parser *flags.Parser) error {
	_, err := parser.AddCommand("limits", "Measure limits and fair shares over several entries",
		"Runs the decisions on limits in virtual time against baselines.", &Command{})
	return errors.Wrap(err, "register limits")
}

// Result is the outcome of all scenarios.
type Result struct {
	Seed        uint64              `json:"seed"`
	Entries     int                 `json:"entries"`
	Limit       float64             `json:"limit_per_second"`
	Enforcement []EnforcementResult `json:"held"` // by load and policy
	Flood       []FloodResult       `json:"flood"`
	Credits     []CreditsResult     `json:"credits"`
}

// Execute runs the experiment and prints its result.
func (c *Command) Execute([]string) error {
	result, err := c.Run()
	if err != nil {
		return err
	}
	return output.Print(c.JSON, result, result.print)
}

// Run runs the experiment.
func (c *Command) Run() (Result, error) {
	switch {
	case c.Entries < 1, c.Seconds < 30, c.Limit <= 0, c.Targets < 1, c.Slots < 1, c.Accounts < 1:
		return Result{}, errors.New("limits: entries, limit, targets, slots and accounts must be above 0, seconds at least 30")
	case c.LossPart < 0, c.LossPart >= 1, c.DelayMS < 0, c.ServiceMS <= 0, c.OthersRate <= 0, c.FloodRate <= 0, c.CreditPart <= 0:
		return Result{}, errors.New("limits: loss must be 0 or more and below 1, delay 0 or more, service time, rates and credit part above 0")
	}
	result := Result{Seed: c.Seed, Entries: c.Entries, Limit: c.Limit}
	for _, load := range loads {
		for _, policy := range enforcementPolicies {
			result.Enforcement = append(result.Enforcement, c.runEnforcement(load, policy))
		}
	}
	for _, policy := range floodPolicies {
		result.Flood = append(result.Flood, c.runFlood(policy))
	}
	for _, policy := range creditPolicies {
		result.Credits = append(result.Credits, c.runCredits(policy))
	}
	return result, nil
}

func (r Result) print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\t\n", args...) }
	line("load\tpolicy\toffered/s\tadmitted/s\tof limit\tin cut\tworst 10 s\tused")
	for _, e := range r.Enforcement {
		line("%s\t%s\t%.1f\t%.1f\t%.3f\t%.3f\t%.3f\t%.3f",
			e.Load, e.Policy, e.OfferedPerSecond, e.AdmittedPerSecond, e.OfLimit, e.OfLimitInCut, e.WorstOfLimit, e.Used)
	}
	line("")
	line("flood policy\tothers p95 before ms\tduring ms\tratio\tothers failed\tflood/s\tslots used")
	for _, f := range r.Flood {
		line("%s\t%.1f\t%.1f\t%.3f\t%d\t%.1f\t%.3f",
			f.Policy, f.OthersP95BeforeMS, f.OthersP95DuringMS, f.Ratio, f.OthersFailed, f.FloodPerSecond, f.SlotsUsed)
	}
	line("")
	line("credits policy\tused by expiry\tunpaid hours\tinteractive held back\tbatch tokens/s\tcapacity used")
	for _, x := range r.Credits {
		line("%s\t%.3f\t%.2f\t%d\t%.1f\t%.3f",
			x.Policy, x.Used, x.UnpaidHours, x.InteractiveLate, x.BatchTokensPerS, x.CapacityUsed)
	}
	return errors.Wrap(table.Flush(), "print result")
}
