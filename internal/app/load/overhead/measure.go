package overhead

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"quetzalbend/internal/app/load/caller"
	"quetzalbend/internal/app/load/openloop"
)

const (
	histogramTop     = int64(time.Minute)
	histogramDigits  = 3
	warmUpRequests   = 200
	maxFailedPart    = 0.01 // of the requests; above it the latencies mean nothing
	requestTimeout   = 10 * time.Second
	idleConnsPerHost = 4096
)

// way is one of the two ways to the engine.
type way struct {
	client *caller.Client

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	failed    int64
}

func newWay(url, token string) *way {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnsPerHost, DisableCompression: true}
	return &way{
		client:    &caller.Client{BaseURL: url, Token: token, HTTP: &http.Client{Transport: transport}},
		latencies: hdrhistogram.New(1, histogramTop, histogramDigits),
	}
}

// send makes one request and records its latency since it was due.
func (w *way) send(ctx context.Context, request caller.Request, due time.Time) error {
	outcome := w.client.Send(ctx, request)
	latency := time.Since(due)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !outcome.Whole {
		w.failed++
		return outcome.Err
	}
	return errors.Wrap(w.latencies.RecordValue(int64(latency)), "record latency")
}

func (w *way) quantileMS(percent float64) float64 {
	return float64(w.latencies.ValueAtQuantile(percent)) / float64(time.Millisecond)
}

// measure drives both ways in turn.
func measure(ctx context.Context, c *Command) (*Result, error) {
	direct, through := newWay(c.Engine, ""), newWay(c.Entry, c.Token)
	for _, w := range []*way{direct, through} {
		if err := w.warmUp(ctx, c.request()); err != nil {
			return nil, err
		}
	}
	result := &Result{Rate: c.Rate, Tokens: c.Tokens, Stream: c.Stream}
	schedule := openloop.Schedule{Rate: c.Rate, Count: int(c.Rate * c.Seconds / float64(c.Rounds))}
	cost := newCost(c)
	for range c.Rounds {
		direct.run(ctx, schedule, c.request())
		cost.start(ctx)
		through.run(ctx, schedule, c.request())
		cost.stop(ctx, schedule.Count)
		result.Requests += int64(schedule.Count)
	}
	if cost.err != nil {
		return nil, cost.err
	}
	result.fill(direct, through)
	result.EntryCPUPerCallUS, result.AgentCPUPerCallUS = cost.entry.perRequestUS(), cost.agent.perRequestUS()
	if failed := float64(direct.failed + through.failed); failed > maxFailedPart*float64(result.Requests) {
		return nil, errors.Errorf("overhead: %d direct and %d other requests of %d failed", direct.failed, through.failed, result.Requests)
	}
	if c.MaxSeconds > 0 {
		result.MaxRPSDirect = direct.highestRate(ctx, c)
		result.MaxRPSThrough = through.highestRate(ctx, c)
	}
	return result, nil
}

func (r *Result) fill(direct, through *way) {
	r.DirectFailed, r.ThroughFailed = direct.failed, through.failed
	r.DirectP50MS, r.DirectP99MS = direct.quantileMS(50), direct.quantileMS(99)
	r.ThroughP50MS, r.ThroughP99MS = through.quantileMS(50), through.quantileMS(99)
	r.AddedP50MS = r.ThroughP50MS - r.DirectP50MS
	r.AddedP99MS = r.ThroughP99MS - r.DirectP99MS
}

func (c *Command) request() caller.Request {
	kind := caller.Chat
	if c.Stream {
		kind = caller.ChatStream
	}
	return caller.Request{Kind: kind, Workload: c.Workload, Content: "overhead", Tokens: c.Tokens, Timeout: requestTimeout}
}

func (w *way) run(ctx context.Context, schedule openloop.Schedule, request caller.Request) {
	openloop.Run(ctx, schedule, func(_ int, due time.Time) { _ = w.send(ctx, request, due) })
}

// warmUp opens connections and lets cold targets warm up, outside the measure.
func (w *way) warmUp(ctx context.Context, request caller.Request) error {
	var last error
	served := 0
	for range warmUpRequests {
		if last = w.send(ctx, request, time.Now()); last == nil {
			served++
		}
	}
	if served == 0 {
		return errors.Wrapf(last, "overhead: %s answers nothing", w.client.BaseURL)
	}
	w.latencies.Reset()
	w.failed = 0
	return nil
}

// highestRate returns the requests answered a second in a closed loop.
func (w *way) highestRate(ctx context.Context, c *Command) float64 {
	var answered atomic.Int64
	var workers sync.WaitGroup
	start := time.Now()
	end := start.Add(seconds(c.MaxSeconds))
	for range c.Workers {
		workers.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				if w.client.Send(ctx, c.request()).Whole {
					answered.Add(1)
				}
			}
		})
	}
	workers.Wait()
	return float64(answered.Load()) / time.Since(start).Seconds()
}
