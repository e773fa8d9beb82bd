package departure

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalbend/internal/app/load/output"
)

// Command is the subcommand with its flags.
type Command struct {
	Seed            uint64  `long:"seed" default:"1" description:"seed of the requests"`
	Modes           string  `long:"modes" default:"setting,cut,kill" description:"how the domain leaves"`
	Variants        string  `long:"variants" default:"quetzalbend,round_robin,own_outstanding" description:"policies to compare"`
	Entries         int     `long:"entries" default:"2" description:"entries in each of the three domains"`
	Engines         int     `long:"engines" default:"5" description:"engines in each domain"`
	Services        int     `long:"services" default:"1" description:"services in each domain"`
	MaxLimit        int     `long:"max-limit" default:"8" description:"requests that a warm engine runs at once"`
	ColdLimit       int     `long:"cold-limit" default:"2" description:"requests that a cold engine bears"`
	FirstTokenMS    int     `long:"first-token-ms" default:"30" description:"an engine's time to the first token"`
	BetweenTokensMS int     `long:"between-tokens-ms" default:"20" description:"an engine's time between tokens"`
	Tokens          int     `long:"tokens" default:"12" description:"tokens of each draft"`
	Interactive     float64 `long:"interactive" default:"60" description:"interactive drafts a second"`
	Certificate     float64 `long:"certificate" default:"10" description:"calls a second that may not be repeated"`
	Lookup          float64 `long:"lookup" default:"10" description:"lookups a second"`
	Batch           float64 `long:"batch" default:"60" description:"drafts of low priority a second"`
	PhaseSeconds    float64 `long:"phase-seconds" default:"6" description:"length of each phase; leaving takes 3 s of the second"`
	JSON            bool    `long:"json" description:"print JSON"`
}

// Register adds the subcommand to a parser.
func Register(parser *flags.Parser) error {
	_, err := parser.AddCommand("departure", "Measure service while a failure domain leaves and returns",
		"Runs three failure domains in this process, takes one out and brings it back cold, under an open loop of requests.", &Command{})
	return errors.Wrap(err, "register departure")
}

// Execute runs the experiment and prints its result.
func (c *Command) Execute([]string) error {
	log.SetLevel(log.FatalLevel)
	if err := c.check(); err != nil {
		return err
	}
	result := Result{Seed: c.Seed}
	for _, name := range strings.Split(c.Variants, ",") {
		for _, mode := range strings.Split(c.Modes, ",") {
			run, err := c.run(context.Background(), name, Mode(mode))
			if err != nil {
				return errors.Wrapf(err, "departure: %s, %s", name, mode)
			}
			result.Runs = append(result.Runs, *run)
		}
	}
	return output.Print(c.JSON, result, result.print)
}

// Mode is how a domain leaves.
type Mode string

// Modes of departure.
const (
	BySetting Mode = "setting" // operators set it to out
	ByCut     Mode = "cut"     // its network is cut, then operators set it to out
	ByKill    Mode = "kill"    // all its processes die, then operators set it to out
)

func (c *Command) check() error {
	for _, mode := range strings.Split(c.Modes, ",") {
		if !slices.Contains([]Mode{BySetting, ByCut, ByKill}, Mode(mode)) {
			return errors.Errorf("departure: mode %q: want setting, cut or kill", mode)
		}
	}
	for _, name := range strings.Split(c.Variants, ",") {
		if _, ok := variants[name]; !ok {
			return errors.Errorf("departure: variant %q: want quetzalbend, round_robin or own_outstanding", name)
		}
	}
	if c.PhaseSeconds <= leavingTime.Seconds() {
		return errors.Errorf("departure: phase-seconds: want more than %g", leavingTime.Seconds())
	}
	return nil
}

func (c *Command) phase() time.Duration { return time.Duration(c.PhaseSeconds * float64(time.Second)) }
