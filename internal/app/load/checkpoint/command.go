package checkpoint

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalbend/internal/app/load/output"
)

// Command is the subcommand with its flags.
type Command struct {
	Seed          uint64  `long:"seed" default:"1" description:"seed of all random numbers"`
	Accounts      int     `long:"accounts" default:"45000" description:"client accounts, one path each"`
	ChangesPerDay int     `long:"changes-per-day" default:"2900" description:"changes of settings a day"`
	RetentionDays float64 `long:"retention-days" default:"7" description:"time for which the log keeps records, in days"`
	IntervalHours float64 `long:"interval-hours" default:"6" description:"time between checkpoints, in hours"`
	CarryPart     float64 `long:"carry-part" default:"0.8" description:"part of the retention after which a record is carried forward"`
	JSON          bool    `long:"json" description:"print JSON"`
}

// Register adds the subcommand to a parser.
func Register(parser *flags.Parser) error {
	_, err := parser.AddCommand("checkpoint", "Compare ways to keep settings in a log whose records expire",
		"Runs the real checkpoints and a carrying of single records over a log in memory.", &Command{})
	return errors.Wrap(err, "register checkpoint")
}

// Cost holds the appends, bytes and start-up time that one way needs.
type Cost struct {
	Way               string  `json:"way"`
	AppendsPerDay     float64 `json:"appends_per_day"`
	BytesPerDay       float64 `json:"bytes_per_day"`
	FollowerBytesADay float64 `json:"follower_bytes_per_day"` // read by each reader that follows the log, changes included
	StartRecords      int64   `json:"start_records"`          // read by a reader that starts with no state
	StartBytes        int64   `json:"start_bytes"`
	StartMS           float64 `json:"start_ms"`
	StartPaths        int     `json:"start_paths"` // live paths in the state that it has read
}

// Result holds the costs of each way.
type Result struct {
	Seed          uint64 `json:"seed"`
	Accounts      int    `json:"accounts"`
	ChangesPerDay int    `json:"changes_per_day"`
	Costs         []Cost `json:"costs"`
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
	_, _ = fmt.Fprintln(table, "way\tappends/day\tbytes/day\tread/day\tstart records\tstart bytes\tstart ms\tpaths\t")
	for _, cost := range r.Costs {
		_, _ = fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%d\t%d\t%.1f\t%d\t\n", cost.Way, cost.AppendsPerDay, cost.BytesPerDay,
			cost.FollowerBytesADay, cost.StartRecords, cost.StartBytes, cost.StartMS, cost.StartPaths)
	}
	return errors.Wrap(table.Flush(), "print result")
}
