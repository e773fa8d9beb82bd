package expertmap

import (
	"context"

	"github.com/pkg/errors"
)

// Acceptor is a rank's side of the protocol. It belongs to one incarnation of
// the rank's agent: a new one has promised nothing. It is not safe for
// concurrent use.
type Acceptor struct {
	rank        int
	incarnation string
	engine      Engine
	promised    Ballot
	promisedTo  string // incarnation of the coordinator
}

// NewAcceptor returns the acceptor of an agent that has just started. Whoever
// starts it makes sure that no order of the agent's predecessor can reach the
// engine any more, or that the engine refuses old fencing numbers.
func NewAcceptor(rank int, incarnation string, engine Engine) *Acceptor {
	return &Acceptor{rank: rank, incarnation: incarnation, engine: engine}
}

// Incarnation returns the incarnation of the agent.
func (a *Acceptor) Incarnation() string { return a.incarnation }

// Promised returns the highest ballot promised.
func (a *Acceptor) Promised() Ballot { return a.promised }

// Handle answers one request. With an error nothing was promised; the engine
// may have taken the order.
func (a *Acceptor) Handle(ctx context.Context, m Message) (Message, error) {
	if m.Kind == KindHello {
		return a.withState(ctx, m, KindState)
	}
	if m.ToIncarnation != a.incarnation {
		return a.answer(m, KindWrongIncarnation), nil
	}
	if !a.allows(m) {
		return a.answer(m, KindRefused), nil
	}
	switch m.Kind {
	case KindPrepare:
		return a.prepare(ctx, m)
	case KindConfirm:
		return a.answer(m, KindConfirmed), nil
	case KindStage:
		return a.stage(ctx, m)
	case KindHold:
		return a.hold(ctx, m)
	case KindDecide:
		return a.decide(ctx, m)
	default:
		return Message{}, errors.Errorf("rank %d: request of unknown kind %q from rank %d", a.rank, m.Kind, m.From)
	}
}

// allows reports whether the promise given lets the message through. Two
// coordinators may have met on one ballot, so the promise names its holder.
func (a *Acceptor) allows(m Message) bool {
	if m.Ballot == a.promised {
		return m.FromIncarnation == a.promisedTo
	}
	return m.Kind == KindPrepare && m.Ballot > a.promised
}

func (a *Acceptor) prepare(ctx context.Context, m Message) (Message, error) {
	if err := a.engine.Fence(ctx, m.Ballot); err != nil {
		return Message{}, errors.Wrapf(err, "rank %d: fence engine", a.rank)
	}
	a.promised, a.promisedTo = m.Ballot, m.FromIncarnation
	return a.withState(ctx, m, KindPromise)
}

func (a *Acceptor) stage(ctx context.Context, m Message) (Message, error) {
	if m.Body.Map == nil {
		return Message{}, errors.Errorf("rank %d: stage without a map from rank %d", a.rank, m.From)
	}
	if err := a.engine.Stage(ctx, m.Ballot, *m.Body.Map); err != nil {
		return Message{}, errors.Wrapf(err, "rank %d: stage map %d", a.rank, m.Body.Map.Version)
	}
	return a.answer(m, KindStaged), nil
}

func (a *Acceptor) hold(ctx context.Context, m Message) (Message, error) {
	if m.Body.Hold == nil {
		return Message{}, errors.Errorf("rank %d: hold without a step from rank %d", a.rank, m.From)
	}
	held, err := a.engine.Hold(ctx, m.Ballot, *m.Body.Hold)
	if err != nil {
		return Message{}, errors.Wrapf(err, "rank %d: hold at step %d", a.rank, m.Body.Hold.Step)
	}
	if !held {
		return a.withState(ctx, m, KindTooLate)
	}
	return a.withState(ctx, m, KindHeld)
}

func (a *Acceptor) decide(ctx context.Context, m Message) (Message, error) {
	if m.Body.Decision == nil {
		return Message{}, errors.Errorf("rank %d: empty decision from rank %d", a.rank, m.From)
	}
	followed, err := a.engine.Follow(ctx, m.Ballot, *m.Body.Decision)
	if err != nil {
		return Message{}, errors.Wrapf(err, "rank %d: follow decision %d", a.rank, m.Body.Decision.Instance)
	}
	if !followed {
		return a.withState(ctx, m, KindNotFollowed)
	}
	return a.answer(m, KindFollowed), nil
}

func (a *Acceptor) answer(m Message, kind Kind) Message {
	return Message{
		Kind:            kind,
		From:            a.rank,
		To:              m.From,
		FromIncarnation: a.incarnation,
		ToIncarnation:   m.FromIncarnation,
		Ballot:          m.Ballot,
		Body:            Body{Promised: a.promised},
	}
}

func (a *Acceptor) withState(ctx context.Context, m Message, kind Kind) (Message, error) {
	state, err := a.engine.State(ctx)
	if err != nil {
		return Message{}, errors.Wrapf(err, "rank %d: read the engine's state", a.rank)
	}
	answer := a.answer(m, kind)
	answer.Body.State = &state
	return answer, nil
}
