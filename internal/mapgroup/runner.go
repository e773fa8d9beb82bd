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

// Counters count a runner's work.
type Counters struct {
	Activated  int64 // changes that this agent has carried out
	Repaired   int64 // ballots that completed or cancelled an earlier change
	Abandoned  int64 // ballots given up
	Unanswered int64 // rounds in which some rank did not answer
	Moves      int64 // replicas moved
}

// Runner is one rank's part in its group.
type Runner struct {
	config Config
	ports  Ports
	plans  *planning

	lock     sync.Mutex // of the acceptor
	acceptor *expertmap.Acceptor
	settled  bool

	countersLock sync.Mutex
	counters     Counters

	seen expertmap.Ballot // highest ballot met; used by Run alone
}

// New returns a runner that has promised nothing.
func New(config Config, ports Ports) (*Runner, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	return &Runner{
		config:   config,
		ports:    ports,
		plans:    newPlanning(config),
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

func (r *Runner) count(change func(*Counters)) {
	r.countersLock.Lock()
	defer r.countersLock.Unlock()
	change(&r.counters)
}

// Handle answers a message of another rank's agent. It returns nil if there is
// no answer to give.
func (r *Runner) Handle(ctx context.Context, w *wire.MapMessage) *wire.MapMessage {
	m, err := expertmap.Decode(w)
	if err != nil || w.GetGroup() != r.config.Group {
		return nil
	}
	answer, err := r.accept(ctx, m)
	if err != nil {
		log.WithError(err).WithField("group", r.config.Group).Debug("message of the expert map not carried out")
		return nil
	}
	out, err := expertmap.Encode(r.config.Group, answer)
	if err != nil {
		return nil
	}
	return out
}

func (r *Runner) accept(ctx context.Context, m expertmap.Message) (expertmap.Message, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.settled {
		return expertmap.Message{}, errors.New("an order of the agent's predecessor may still arrive")
	}
	return r.acceptor.Handle(ctx, m)
}

// Run takes part in the group until ctx ends.
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
			r.lead(ctx)
		}
	}
}

// settle waits until no order of the predecessor can arrive any more.
func (r *Runner) settle(ctx context.Context) bool {
	if !r.config.ChecksFencing {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(r.config.SettleTime):
		}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.settled = true
	return true
}

func (r *Runner) observe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.AskTimeout)
	defer cancel()
	report, err := r.ports.Reports.Report(ctx)
	if err == nil {
		r.plans.observe(report)
	}
}
