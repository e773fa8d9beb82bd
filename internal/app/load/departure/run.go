package departure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalbend/internal/app/entry"
	"quetzalbend/internal/app/load/caller"
	"quetzalbend/internal/app/load/fleet"
	"quetzalbend/internal/app/load/openloop"
	"quetzalbend/internal/app/standin/engine"
	"quetzalbend/internal/core/schema"
)

const (
	leavingTime    = 3 * time.Second // length of the phase Leaving
	warmUpTime     = 6 * time.Second
	startTimeout   = 30 * time.Second
	callerTimeout  = 8 * time.Second // for one request with all its attempts
	attemptTimeout = 5 * time.Second
	conversations  = 1000 // number of different prompts
)

// variant is a configuration of the system under test.
type variant struct {
	strategy  string
	admission bool
}

var variants = map[string]variant{
	"quetzalbend":     {strategy: entry.StrategyAffinity, admission: true},
	"round_robin":     {strategy: entry.StrategyRoundRobin},
	"own_outstanding": {strategy: entry.StrategyOwnOutstanding},
}

var domains = []string{"d0", "d1", "d2"}

// departingDomain is the domain that leaves.
const departingDomain = "d1"

// experiment is the state of one run.
type experiment struct {
	command *Command
	fleet   *fleet.Fleet
	mode    Mode
	samples *samples

	mu           sync.Mutex
	answeredKeys map[string]bool // idempotency keys whose calls were answered
	outAt        time.Time       // when the setting that takes the domain out was accepted
	lastWorkMS   int64           // time of the domain's last new request, in milliseconds after outAt
	err          error           // the first error
}

// run measures one variant under one mode.
func (c *Command) run(ctx context.Context, name string, mode Mode) (*Run, error) {
	started, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	v := variants[name]
	f, err := fleet.Start(started, fleet.Config{
		Domains: domains, Entries: c.Entries, Engines: c.Engines, Services: c.Services,
		Engine: engine.Config{
			FirstTokenMS: c.FirstTokenMS, BetweenTokensMS: c.BetweenTokensMS, Slots: c.MaxLimit, ColdLimit: c.ColdLimit,
		},
		MaxLimit: c.MaxLimit, Queue: c.MaxLimit, Strategy: v.strategy, Admission: v.admission,
	})
	if err != nil {
		return nil, err
	}
	e := &experiment{command: c, fleet: f, mode: mode, answeredKeys: make(map[string]bool)}
	run := e.measure(ctx)
	run.Variant, run.Mode = name, string(mode)
	if err := f.Close(); err != nil {
		return nil, err
	}
	return run, e.err
}

// measure sends the load of all classes while the domain departs and returns.
func (e *experiment) measure(ctx context.Context) *Run {
	phase := e.command.phase()
	t := &timeline{start: time.Now(), spans: []span{
		{WarmUp, warmUpTime},
		{Before, warmUpTime + phase},
		{Leaving, warmUpTime + phase + leavingTime},
		{Out, warmUpTime + 2*phase},
		{Returning, warmUpTime + 4*phase},
	}}
	e.samples = newSamples(t)
	var running sync.WaitGroup
	running.Go(func() { e.depart(ctx, t) })
	for class, rate := range e.rates() {
		running.Go(func() { e.sendClass(ctx, class, rate, t.spans[len(t.spans)-1].end) })
	}
	running.Wait()
	run := &Run{Cells: e.samples.report()}
	e.readTruth(run)
	return run
}

// rates returns the requests a second of each class.
func (e *experiment) rates() map[Class]float64 {
	c := e.command
	return map[Class]float64{Interactive: c.Interactive, Certificate: c.Certificate, Lookup: c.Lookup, Batch: c.Batch}
}

// depart takes the domain out at the end of phase Before and brings it back at
// the end of phase Out.
func (e *experiment) depart(ctx context.Context, t *timeline) {
	openloop.SleepUntil(ctx, t.start.Add(t.spans[1].end))
	switch e.mode {
	case ByCut:
		e.recordErr(e.fleet.InjectFault(departingDomain, fleet.Cut))
	case ByKill:
		e.recordErr(e.fleet.InjectFault(departingDomain, fleet.Killed))
	case BySetting:
	}
	at, err := e.fleet.SetDomain(ctx, departingDomain, schema.Out)
	e.recordErr(err)
	e.mu.Lock()
	e.outAt = at
	e.mu.Unlock()
	openloop.SleepUntil(ctx, t.start.Add(t.spans[3].end))
	e.recordLastWork()
	e.recordErr(e.fleet.Replace(departingDomain))
	_, err = e.fleet.SetDomain(ctx, departingDomain, schema.In)
	e.recordErr(err)
}

// recordErr keeps the first error.
func (e *experiment) recordErr(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err == nil {
		e.err = err
	}
}

// sendClass sends the requests of one class at a fixed rate.
func (e *experiment) sendClass(ctx context.Context, class Class, rate float64, length time.Duration) {
	if rate <= 0 {
		return
	}
	random := rand.New(rand.NewPCG(e.command.Seed, uint64(len(class))))
	schedule := openloop.Schedule{Rate: rate, Count: int(rate * length.Seconds())}
	prompts := make([]int, schedule.Count)
	for i := range prompts {
		prompts[i] = random.IntN(conversations)
	}
	clients := e.fleet.Balancer.Clients()
	openloop.Run(ctx, schedule, func(n int, due time.Time) {
		request := e.request(class, n, prompts[n])
		callerCtx, cancel := context.WithTimeout(ctx, callerTimeout)
		defer cancel()
		outcome, _ := caller.SendWithRetries(callerCtx, clients, request)
		e.samples.add(class, due, &outcome)
		if outcome.Complete && request.Key != "" {
			e.mu.Lock()
			e.answeredKeys[request.Key] = true
			e.mu.Unlock()
		}
	})
}

func (e *experiment) request(class Class, n, prompt int) caller.Request {
	request := caller.Request{Timeout: attemptTimeout, Service: fleet.ServiceName, Tokens: e.command.Tokens}
	switch class {
	case Interactive:
		request.Kind, request.Workload = caller.ChatStream, fleet.Drafts
	case Batch:
		request.Kind, request.Workload = caller.ChatStream, fleet.Batch
	case Certificate:
		request.Kind, request.Path, request.Key = caller.Confirm, "/confirm", fmt.Sprintf("key-%d-%d", e.command.Seed, n)
	case Lookup:
		request.Kind, request.Path = caller.Lookup, "/status"
	}
	request.Content = fmt.Sprintf("conversation %d", prompt)
	return request
}

// readTruth fills in the figures that the stand-ins recorded.
func (e *experiment) readTruth(run *Run) {
	runs := make(map[string]int)
	for _, s := range e.fleet.Services {
		for key, count := range s.Truth().Runs {
			runs[key] += count
		}
	}
	for _, count := range runs {
		if count > 1 {
			run.Doubled++
		}
	}
	for key := range e.answeredKeys {
		if runs[key] == 0 {
			run.Lost++
		}
	}
	for _, c := range run.Cells {
		run.Lost += c.Lost
	}
	for _, engine := range e.fleet.Engines {
		truth := engine.Truth()
		run.ColdOverrun = max(run.ColdOverrun, truth.MaxRunningCold-truth.ColdLimit)
		run.FellOver += truth.FellOver
	}
	run.LastNewWorkAfterOutMS = e.lastWorkMS
}

// recordLastWork records when a target of the departed domain last received a
// request.
func (e *experiment) recordLastWork() {
	last := int64(0)
	for _, engine := range e.fleet.Engines {
		if engine.Domain == departingDomain {
			last = max(last, engine.Truth().LastRequestUnixMS)
		}
	}
	for _, service := range e.fleet.Services {
		if service.Domain == departingDomain {
			last = max(last, service.Truth().LastRequestUnixMS)
		}
	}
	e.lastWorkMS = max(0, last-e.outAt.UnixMilli())
}
