package overhead

import (
	"context"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalbend/internal/app/load/output"
)

// Command is the subcommand with its flags.
type Command struct {
	Engine         string  `long:"engine" required:"true" value-name:"URL" description:"base URL of the engine"`
	Entry          string  `long:"entry" required:"true" value-name:"URL" description:"base URL of the entry's callers listener"`
	EntryOperators string  `long:"entry-operators" value-name:"URL" description:"base URL of the entry's operators listener, for its processor time"`
	AgentOperators string  `long:"agent-operators" value-name:"URL" description:"base URL of the agent's operators listener, for its processor time"`
	Token          string  `long:"token" required:"true" description:"bearer token of the account"`
	Workload       string  `long:"workload" required:"true" description:"workload to ask for"`
	Rate           float64 `long:"rate" default:"1500" description:"requests a second"`
	Seconds        float64 `long:"seconds" default:"10" description:"time at this rate for each of the two ways"`
	Rounds         int     `long:"rounds" default:"5" description:"turns into which that time is divided"`
	Tokens         int     `long:"tokens" default:"1" description:"tokens of each answer"`
	Stream         bool    `long:"stream" description:"ask for streamed answers"`
	Workers        int     `long:"workers" default:"64" description:"concurrent requests when measuring the highest rate"`
	MaxSeconds     float64 `long:"max-seconds" default:"2" description:"time for measuring the highest rate of each way; 0 leaves it out"`
	JSON           bool    `long:"json" description:"print JSON"`
}

// Register adds the subcommand to a parser.
func Register(parser *flags.Parser) error {
	_, err := parser.AddCommand("overhead", "Measure what entry and agent add to a request",
		"Drives the same engine directly and through entry and agent in turn, open loop at a fixed rate.", &Command{})
	return errors.Wrap(err, "register overhead")
}

// Execute runs the experiment and prints its result.
func (c *Command) Execute([]string) error {
	if c.Rate <= 0 || c.Seconds <= 0 || c.Rounds <= 0 || c.Workers <= 0 || c.MaxSeconds < 0 {
		return errors.New("overhead: rate, seconds, rounds and workers must be above 0, max-seconds at least 0")
	}
	result, err := measure(context.Background(), c)
	if err != nil {
		return err
	}
	return output.Print(c.JSON, result, result.print)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
