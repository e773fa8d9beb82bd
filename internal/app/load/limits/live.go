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

// Timeouts of the live experiment.
const (
	startTimeout   = 30 * time.Second // for starting a fleet
	callerDeadline = 10 * time.Second // for one request with all its attempts
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

// LiveResult holds the service of the account that does not flood, before and
// during the flood, and what the flooding account got.
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

// liveRun collects the outcomes of the requests to one fleet.
type liveRun struct {
	*FloodCommand

	fleet *fleet.Fleet

	mu          sync.Mutex
	latencies   []float64 // milliseconds
	firstToken  []float64 // milliseconds
	failed      int
	floodServed int
	slotTime    time.Duration // sum of the engines' time for answered requests
}

// Run starts a fleet and measures an account first alone and then during the
// flood.
func (c *FloodCommand) Run(ctx context.Context) (result LiveResult, err error) {
	run := &liveRun{FloodCommand: c}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if run.fleet, err = fleet.Start(starting, c.fleet()); err != nil {
		return result, err
	}
	defer func() {
		if closeErr := run.fleet.Close(); err == nil {
			err = closeErr
		}
	}()
	run.runOthers(ctx)
	result.P95BeforeMS = p95(run.latencies)
	run.latencies, run.firstToken, run.slotTime = nil, nil, 0

	var both sync.WaitGroup
	both.Go(func() { run.flood(ctx) })
	both.Go(func() { run.runOthers(ctx) })
	both.Wait()
	result.P95DuringMS, result.FirstTokenMS = p95(run.latencies), p95(run.firstToken)
	result.Ratio = result.P95DuringMS / result.P95BeforeMS
	result.OthersFailed = run.failed
	result.FloodPerSecond = float64(run.floodServed) / c.Seconds
	result.SlotsUsed = run.slotTime.Seconds() / c.Seconds / float64(c.Domains*c.Engines*c.MaxLimit)
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
		Kind: caller.ChatStream, Workload: fleet.Drafts, Content: fmt.Sprint("draft ", n), Tokens: r.Tokens, Timeout: callerDeadline,
	}
}

// serviceTime returns the time that an engine takes for an answer.
func (r *liveRun) serviceTime() time.Duration {
	return time.Duration(r.Tokens*r.BetweenMS) * time.Millisecond
}

// runOthers sends the requests of the account that does not flood and repeats
// each until it is answered or callerDeadline has passed.
func (r *liveRun) runOthers(ctx context.Context) {
	openloop.Run(ctx, r.schedule(r.OthersRate), func(n int, due time.Time) {
		callerCtx, cancel := context.WithTimeout(ctx, callerDeadline)
		defer cancel()
		outcome, _ := caller.SendWithRetries(callerCtx, r.fleet.Balancer.Clients(), r.request(n))
		latency := time.Since(due)
		r.mu.Lock()
		defer r.mu.Unlock()
		if !outcome.Complete {
			r.failed++
			return
		}
		r.slotTime += r.serviceTime()
		r.latencies = append(r.latencies, float64(latency)/float64(time.Millisecond))
		first := latency - outcome.Total + outcome.FirstToken
		r.firstToken = append(r.firstToken, float64(first)/float64(time.Millisecond))
	})
}

// flood sends the requests of the flooding account, each once.
func (r *liveRun) flood(ctx context.Context) {
	openloop.Run(ctx, r.schedule(r.FloodRate), func(n int, _ time.Time) {
		client := *r.fleet.Balancer.Clients()[0]
		client.Token = fleet.OtherToken
		outcome := client.Send(ctx, r.request(n))
		r.mu.Lock()
		defer r.mu.Unlock()
		if outcome.Complete {
			r.floodServed++
			r.slotTime += r.serviceTime()
		}
	})
}
