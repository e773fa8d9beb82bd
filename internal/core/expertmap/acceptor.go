package expertmap

import (
	"context"

	"github.com/pkg/errors"
)

// Acceptor is a rank's side of the protocol. It belongs to one incarnation of
// the rank's agent; the acceptor of a new incarnation has promised nothing. It
// is not safe for concurrent use.
type Acceptor struct {
	rank        int
	incarnation string
	engine      Engine
	promised    Ballot
	promisedTo  string // incarnation of the coordinator's agent
}

// NewAcceptor returns the acceptor of an agent that has just started. The
// caller must ensure that orders of the agent's predecessor can no longer reach
// the engine, or that the engine refuses old fencing tokens.
func NewAcceptor(rank int, incarnation string, engine Engine) *Acceptor {
	return &Acceptor{rank: rank, incarnation: incarnation, engine: engine}
}

// Incarnation returns the incarnation of the agent.
func (a *Acceptor) Incarnation() string { return a.incarnation }

// Promised returns the highest ballot promised.
func (a *Acceptor) Promised() Ballot { return a.promised }

// Handle answers one request. If it returns an error, the sender receives no
// promise, but the engine may have accepted the order.
func (a *Acceptor) Handle(ctx context.Context, m Message) (Message, error) {
	if m.Kind == KindHello {
		return a.answerWithState(ctx, m, KindState)
	}
	if m.ToIncarnation != a.incarnation {
		return a.answer(m, KindWrongIncarnation), nil
	}
	if !a.permits(m) {
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

// permits reports whether the promise given allows the message. Two
// coordinators may have chosen the same ballot, so the promise is bound to one
// incarnation.
func (a *Acceptor) permits(m Message) bool {
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
	return a.answerWithState(ctx, m, KindPromise)
}

func (a *Acceptor) stage(ctx context.Context, m Message) (Message, error) {
	if m.Body.Map == nil {
		return Message{}, errors.Errorf("rank %d: stage request from rank %d has no map", a.rank, m.From)
	}
	if err := a.engine.Stage(ctx, m.Ballot, *m.Body.Map); err != nil {
		return Message{}, errors.Wrapf(err, "rank %d: stage map %d", a.rank, m.Body.Map.Version)
	}
	return a.answer(m, KindStaged), nil
}

func (a *Acceptor) hold(ctx context.Context, m Message) (Message, error) {
	if m.Body.Hold == nil {
		return Message{}, errors.Errorf("rank %d: hold request from rank %d has no hold", a.rank, m.From)
	}
	held, err := a.engine.Hold(ctx, m.Ballot, *m.Body.Hold)
	if err != nil {
		return Message{}, errors.Wrapf(err, "rank %d: hold at step %d", a.rank, m.Body.Hold.Step)
	}
	if !held {
		return a.answerWithState(ctx, m, KindTooLate)
	}
	return a.answerWithState(ctx, m, KindHeld)
}

func (a *Acceptor) decide(ctx context.Context, m Message) (Message, error) {
	if m.Body.Decision == nil {
		return Message{}, errors.Errorf("rank %d: decide request from rank %d has no decision", a.rank, m.From)
	}
	followed, err := a.engine.Follow(ctx, m.Ballot, *m.Body.Decision)
	if err != nil {
		return Message{}, errors.Wrapf(err, "rank %d: follow decision %d", a.rank, m.Body.Decision.Instance)
	}
	if !followed {
		return a.answerWithState(ctx, m, KindNotFollowed)
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

func (a *Acceptor) answerWithState(ctx context.Context, m Message, kind Kind) (Message, error) {
	state, err := a.engine.State(ctx)
	if err != nil {
		return Message{}, errors.Wrapf(err, "rank %d: read the engine's state", a.rank)
	}
	answer := a.answer(m, kind)
	answer.Body.State = &state
	return answer, nil
}
