package limits

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalbend/internal/app/load/caller"
	"quetzalbend/internal/app/load/fleet"
	"quetzalbend/internal/app/load/openloop"
	"quetzalbend/internal/app/load/output"
	"quetzalbend/internal/app/standin/engine"
)

// Times of the live experiment.
const (
	liveStart    = 30 * time.Second // to start a fleet
	livePatience = 10 * time.Second // until a caller stops repeating a request
)

// FloodCommand is the subcommand that floods a fleet of real entries and agents.
type FloodCommand struct {
	Domains    int     `long:"domains" default:"2" description:"failure domains"`
	Entries    int     `long:"entries" default:"2" description:"entries of a failure domain"`
	Engines    int     `long:"engines" default:"2" description:"engines of a failure domain"`
	MaxLimit   int     `long:"max-limit" default:"8" description:"concurrent requests of an engine"`
	Queue      int     `long:"queue" default:"4" description:"requests that wait at an agent"`
	Tokens     int     `long:"tokens" default:"20" description:"tokens of each answer"`
	BetweenMS  int     `long:"between-ms" default:"5" description:"time between tokens"`
	OthersRate float64 `long:"others-rate" default:"40" description:"requests a second of the account that does not flood"`
	FloodRate  float64 `long:"flood-rate" default:"800" description:"requests a second of the account that floods"`
	Seconds    float64 `long:"seconds" default:"6" description:"time before the flood, and of the flood"`
	JSON       bool    `long:"json" description:"print JSON"`
}

// LiveResult is what the account that does not flood got, and the other.
type LiveResult struct {
	P95BeforeMS    float64 `json:"others_p95_before_ms"`
	P95DuringMS    float64 `json:"others_p95_during_ms"`
	Ratio          float64 `json:"others_p95_ratio"`
	FirstTokenMS   float64 `json:"others_p95_first_token_during_ms"`
	OthersFailed   int     `json:"others_failed"`
	FloodPerSecond float64 `json:"flood_finished_per_second"`
	SlotsUsed      float64 `json:"slots_used_during"`
	MaxRunning     int     `json:"most_requests_at_one_engine"`
}

// RegisterFlood adds the live subcommand to a parser.
func RegisterFlood(parser *flags.Parser) error {
	_, err := parser.AddCommand("flood", "Measure what an account notices of another that floods",
		"Runs real entries and agents in one process and floods them from one account.", &FloodCommand{})
	return errors.Wrap(err, "register flood")
}

// Execute runs the experiment and prints its result.
func (c *FloodCommand) Execute([]string) error {
	if c.Domains < 1 || c.Entries < 1 || c.Engines < 1 || c.MaxLimit < 1 || c.OthersRate <= 0 || c.FloodRate <= 0 || c.Seconds <= 0 {
		return errors.New("flood: numbers and rates must be above 0")
	}
	log.SetLevel(log.FatalLevel)
	result, err := c.Run(context.Background())
	if err != nil {
		return err
	}
	return output.Print(c.JSON, result, result.print)
}

func (result LiveResult) print(w io.Writer) error {
	_, err := fmt.Fprintf(w, "others p95 %.1f ms before, %.1f ms during (ratio %.3f), first token %.1f ms, %d failed; "+
		"flood %.1f/s, slots used %.3f, at most %d at one engine\n",
		result.P95BeforeMS, result.P95DuringMS, result.Ratio, result.FirstTokenMS, result.OthersFailed,
		result.FloodPerSecond, result.SlotsUsed, result.MaxRunning)
	return errors.Wrap(err, "print result")
}

// liveRun gathers the outcomes of one fleet.
type liveRun struct {
	*FloodCommand

	fleet *fleet.Fleet

	mu         sync.Mutex
	latencies  []float64 // milliseconds
	firstToken []float64 // milliseconds
	failed     int
	flooded    int
	served     time.Duration // of slots
}

// Run starts a fleet, measures an account alone and then beside the flood.
func (c *FloodCommand) Run(ctx context.Context) (result LiveResult, err error) {
	run := &liveRun{FloodCommand: c}
	starting, cancel := context.WithTimeout(ctx, liveStart)
	defer cancel()
	if run.fleet, err = fleet.Start(starting, c.fleet()); err != nil {
		return result, err
	}
	defer func() {
		if closeErr := run.fleet.Close(); err == nil {
			err = closeErr
		}
	}()
	run.others(ctx)
	result.P95BeforeMS = p95(run.latencies)
	run.latencies, run.firstToken, run.served = nil, nil, 0

	var both sync.WaitGroup
	both.Go(func() { run.flood(ctx) })
	both.Go(func() { run.others(ctx) })
	both.Wait()
	result.P95DuringMS, result.FirstTokenMS = p95(run.latencies), p95(run.firstToken)
	result.Ratio = result.P95DuringMS / result.P95BeforeMS
	result.OthersFailed = run.failed
	result.FloodPerSecond = float64(run.flooded) / c.Seconds
	result.SlotsUsed = run.served.Seconds() / c.Seconds / float64(c.Domains*c.Engines*c.MaxLimit)
	for _, e := range run.fleet.Engines {
		result.MaxRunning = max(result.MaxRunning, e.Truth().MaxRunning)
	}
	return result, nil
}

func (c *FloodCommand) fleet() fleet.Config {
	config := fleet.Config{
		Entries: c.Entries, Engines: c.Engines, MaxLimit: c.MaxLimit, Queue: c.Queue, Admission: true,
		Engine: engine.Config{
			Warm: true, Slots: c.MaxLimit, ColdLimit: c.MaxLimit, FirstTokenMS: c.BetweenMS, BetweenTokensMS: c.BetweenMS,
		},
	}
	for i := range c.Domains {
		config.Domains = append(config.Domains, string(rune('a'+i)))
	}
	return config
}

func (r *liveRun) schedule(rate float64) openloop.Schedule {
	return openloop.Schedule{Rate: rate, Count: int(rate * r.Seconds)}
}

func (r *liveRun) request(n int) caller.Request {
	return caller.Request{
		Kind: caller.ChatStream, Workload: fleet.Drafts, Content: fmt.Sprint("draft ", n), Tokens: r.Tokens, Timeout: livePatience,
	}
}

// service is how long an answer takes an engine.
func (r *liveRun) service() time.Duration {
	return time.Duration(r.Tokens*r.BetweenMS) * time.Millisecond
}

// others sends the requests of the account that does not flood, each until it is
// answered.
func (r *liveRun) others(ctx context.Context) {
	openloop.Run(ctx, r.schedule(r.OthersRate), func(n int, due time.Time) {
		patience, cancel := context.WithTimeout(ctx, livePatience)
		defer cancel()
		outcome, _ := caller.SendUntilDone(patience, r.fleet.Balancer.Clients(), r.request(n))
		latency := time.Since(due)
		r.mu.Lock()
		defer r.mu.Unlock()
		if !outcome.Whole {
			r.failed++
			return
		}
		r.served += r.service()
		r.latencies = append(r.latencies, float64(latency)/float64(time.Millisecond))
		first := latency - outcome.Total + outcome.FirstToken
		r.firstToken = append(r.firstToken, float64(first)/float64(time.Millisecond))
	})
}

// flood sends the requests of the account that floods, each once.
func (r *liveRun) flood(ctx context.Context) {
	openloop.Run(ctx, r.schedule(r.FloodRate), func(n int, _ time.Time) {
		client := *r.fleet.Balancer.Clients()[0]
		client.Token = fleet.OtherToken
		outcome := client.Send(ctx, r.request(n))
		r.mu.Lock()
		defer r.mu.Unlock()
		if outcome.Whole {
			r.flooded++
			r.served += r.service()
		}
	})
}
