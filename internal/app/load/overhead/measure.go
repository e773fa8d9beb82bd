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
	maxLatency        = int64(time.Minute)
	histogramDigits   = 3 // significant decimal digits
	warmUpRequests    = 200
	maxFailedFraction = 0.01 // of the requests; with more failures the latencies are not meaningful
	requestTimeout    = 10 * time.Second
	idleConnsPerHost  = 4096
)

// path is one of the two paths to the engine: direct, or through entry and agent.
type path struct {
	client *caller.Client

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	failed    int64
}

func newPath(url, token string) *path {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnsPerHost, DisableCompression: true}
	return &path{
		client:    &caller.Client{BaseURL: url, Token: token, HTTP: &http.Client{Transport: transport}},
		latencies: hdrhistogram.New(1, maxLatency, histogramDigits),
	}
}

// send makes one request and records its latency since it was due.
func (p *path) send(ctx context.Context, request caller.Request, due time.Time) error {
	outcome := p.client.Send(ctx, request)
	latency := time.Since(due)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !outcome.Complete {
		p.failed++
		return outcome.Err
	}
	return errors.Wrap(p.latencies.RecordValue(int64(latency)), "record latency")
}

func (p *path) quantileMS(percent float64) float64 {
	return float64(p.latencies.ValueAtQuantile(percent)) / float64(time.Millisecond)
}

// measure sends requests over both paths in turn and returns the figures.
func measure(ctx context.Context, c *Command) (*Result, error) {
	direct, through := newPath(c.Engine, ""), newPath(c.Entry, c.Token)
	for _, p := range []*path{direct, through} {
		if err := p.warmUp(ctx, c.request()); err != nil {
			return nil, err
		}
	}
	result := &Result{Rate: c.Rate, Tokens: c.Tokens, Stream: c.Stream}
	schedule := openloop.Schedule{Rate: c.Rate, Count: int(c.Rate * c.Seconds / float64(c.Rounds))}
	cost := newCostMeter(c)
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
	result.EntryCPUPerCallUS, result.AgentCPUPerCallUS = cost.entry.microsecondsPerRequest(), cost.agent.microsecondsPerRequest()
	if failed := float64(direct.failed + through.failed); failed > maxFailedFraction*float64(result.Requests) {
		return nil, errors.Errorf("overhead: %d direct requests and %d through entry and agent failed, of %d each", direct.failed, through.failed, result.Requests)
	}
	if c.MaxSeconds > 0 {
		result.MaxRPSDirect = direct.highestRate(ctx, c)
		result.MaxRPSThrough = through.highestRate(ctx, c)
	}
	return result, nil
}

// fill fills in the latencies and failures of both paths.
func (r *Result) fill(direct, through *path) {
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

// run sends the requests of a schedule.
func (p *path) run(ctx context.Context, schedule openloop.Schedule, request caller.Request) {
	openloop.Run(ctx, schedule, func(_ int, due time.Time) { _ = p.send(ctx, request, due) })
}

// warmUp sends requests that are not measured, so that connections are open and
// targets are warm.
func (p *path) warmUp(ctx context.Context, request caller.Request) error {
	var last error
	served := 0
	for range warmUpRequests {
		if last = p.send(ctx, request, time.Now()); last == nil {
			served++
		}
	}
	if served == 0 {
		return errors.Wrapf(last, "overhead: %s served no warm-up request", p.client.BaseURL)
	}
	p.latencies.Reset()
	p.failed = 0
	return nil
}

// highestRate returns the requests answered a second when concurrent workers send
// one request after the other (closed loop).
func (p *path) highestRate(ctx context.Context, c *Command) float64 {
	var answered atomic.Int64
	var workers sync.WaitGroup
	start := time.Now()
	end := start.Add(seconds(c.MaxSeconds))
	for range c.Workers {
		workers.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				if p.client.Send(ctx, c.request()).Complete {
					answered.Add(1)
				}
			}
		})
	}
	workers.Wait()
	return float64(answered.Load()) / time.Since(start).Seconds()
}
