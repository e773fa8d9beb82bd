package mapgroup

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"quetzalbend/internal/core/expertmap"
	"quetzalbend/internal/wire"
)

// Counters counts the outcomes of a runner's ballots.
type Counters struct {
	Activated  int64 // changes proposed by this agent that were activated on all ranks
	Repaired   int64 // ballots that completed or cancelled an earlier change
	Abandoned  int64 // ballots without a result
	Unanswered int64 // rounds in which some rank did not answer
	Moves      int64 // replicas moved
}

// Runner runs the protocol for one rank of a group.
type Runner struct {
	config  Config
	ports   Ports
	planner *mapPlanner

	acceptorLock sync.Mutex // of acceptor and settled
	acceptor     *expertmap.Acceptor
	settled      bool

	countersLock sync.Mutex
	counters     Counters

	highestBallot expertmap.Ballot // highest ballot seen; used only by Run
}

// New returns a runner whose acceptor has promised nothing.
func New(config Config, ports Ports) (*Runner, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Runner{
		config:   config,
		ports:    ports,
		planner:  newMapPlanner(config),
		acceptor: expertmap.NewAcceptor(config.Rank, config.Incarnation, ports.Engine),
		settled:  config.ChecksFencing,
	}, nil
}

// Counters returns the counters.
func (r *Runner) Counters() Counters {
	r.countersLock.Lock()
	defer r.countersLock.Unlock()
	return r.counters
}

func (r *Runner) updateCounters(change func(*Counters)) {
	r.countersLock.Lock()
	defer r.countersLock.Unlock()
	change(&r.counters)
}

// Handle answers a message of another rank's agent. It returns nil if the
// message is not for this group or its request fails.
func (r *Runner) Handle(ctx context.Context, w *wire.MapMessage) *wire.MapMessage {
	m, err := expertmap.Decode(w)
	if err != nil || w.GetGroup() != r.config.Group {
		return nil
	}
	answer, err := r.accept(ctx, m)
	if err != nil {
		log.WithError(err).WithField("group", r.config.Group).Debug("expert map request failed")
		return nil
	}
	out, err := expertmap.Encode(r.config.Group, answer)
	if err != nil {
		return nil
	}
	return out
}

// accept passes a message to the acceptor. It fails while an order of the
// agent's predecessor may still arrive.
func (r *Runner) accept(ctx context.Context, m expertmap.Message) (expertmap.Message, error) {
	r.acceptorLock.Lock()
	defer r.acceptorLock.Unlock()
	if !r.settled {
		return expertmap.Message{}, errors.New("an order of the agent's predecessor may still arrive")
	}
	return r.acceptor.Handle(ctx, m)
}

// Run observes load reports and coordinates ballots until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	if !r.settle(ctx) {
		return nil
	}
	reports := time.NewTicker(r.config.ReportInterval)
	defer reports.Stop()
	plans := time.NewTicker(r.config.PlanInterval)
	defer plans.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-reports.C:
			r.observe(ctx)
		case <-plans.C:
			r.coordinate(ctx)
		}
	}
}

// settle waits until orders of the agent's predecessor can no longer arrive.
// It reports false if ctx ends first.
func (r *Runner) settle(ctx context.Context) bool {
	if !r.config.ChecksFencing {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(r.config.SettleTime):
		}
	}
	r.acceptorLock.Lock()
	defer r.acceptorLock.Unlock()
	r.settled = true
	return true
}

// observe passes the newest load report to the planner.
func (r *Runner) observe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.AskTimeout)
	defer cancel()
	report, err := r.ports.Reports.Report(ctx)
	if err == nil {
		r.planner.observe(report)
	}
}
