package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"quetzalbend/internal/core/poison"
	"quetzalbend/internal/core/retry"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/wire"
)

// Config holds the dependencies and settings of a Dispatcher.
type Config struct {
	Entry             string // name of the entry
	Links             Links
	Strategy          routing.Strategy
	Strikes           *strike.Table
	Poison            *poison.Table
	Counter           Counter
	OnStrike          func(strike.Count)  // called for each new strike; may be nil
	OnCrash           func()              // called for each crash that counts against parts of a prompt; may be nil
	FirstFrameTimeout time.Duration       // time that an agent has to send its first frame
	StallTimeout      time.Duration       // gap between frames after which a stream is resumed at another target
	AvoidPeriod       time.Duration       // how long an unreachable target is not picked
	AnswerBytes       int                 // maximum size of an answer that is not streamed, and of what is held back of a stream
	Now               func() time.Time    // time.Now if nil
	Random            func() uint64       // rand.Uint64 if nil
	QueryInterval     time.Duration       // between rounds of querying agents for an outcome
	UnknownTimeout    time.Duration       // time after which an outcome that no agent knows is accepted as unknown
	NoRetryCodes      map[string]struct{} // codes of refusals that every target would repeat
}

// Dispatcher sends requests to targets. It is safe for concurrent use.
type Dispatcher struct {
	cfg    Config
	budget *retry.Budget
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Poison == nil {
		cfg.Poison = poison.NewTable()
	}
	if cfg.Random == nil {
		cfg.Random = rand.Uint64
	}
	return &Dispatcher{cfg: cfg, budget: retry.NewBudget()}
}

// Do runs a request on a target of the table and returns its complete answer. A
// streamed answer is written to out as it arrives. Every error is a *Failure.
func (d *Dispatcher) Do(ctx context.Context, table *routing.Table, req *Request, out StreamWriter) (*Answer, error) {
	d.budget.Deposit()
	r := &run{d: d, table: table, req: req, out: out, ran: wire.Ran_RAN_NO}
	for {
		answer, action, failure := r.step(ctx)
		if action == retry.Ask {
			answer, failure = r.queryOutcome(ctx)
		}
		if failure != nil && r.doubtful != nil {
			answer = r.doubtful
		}
		switch {
		case answer != nil:
			answer.Attempts = r.attempts
			return answer, nil
		case failure != nil && action != retry.Retry:
			return nil, failure
		default:
			d.cfg.Counter.Count(Retries)
		}
	}
}
