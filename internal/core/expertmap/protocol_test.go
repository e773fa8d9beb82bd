package expertmap_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/app/standin/ranks"
	"quetzalbend/internal/core/expertmap"
)

func newAcceptor(t *testing.T, incarnation string) *expertmap.Acceptor {
	t.Helper()
	group := ranks.NewGroup(1, expertmap.Map{}, false)
	return expertmap.NewAcceptor(0, incarnation, group.Engine(0))
}

func handle(t *testing.T, a *expertmap.Acceptor, m expertmap.Message) expertmap.Kind {
	t.Helper()
	answer, err := a.Handle(context.Background(), m)
	assert.NilError(t, err)
	return answer.Kind
}

func TestMessageForEarlierIncarnationIsRejected(t *testing.T) {
	a := newAcceptor(t, "second")
	m := expertmap.Message{Kind: expertmap.KindPrepare, Ballot: 1, FromIncarnation: "c", ToIncarnation: "first"}
	assert.Equal(t, handle(t, a, m), expertmap.KindWrongIncarnation)
	assert.Equal(t, a.Promised(), expertmap.Ballot(0))
}

func TestPromiseBindsBallotAndCoordinator(t *testing.T) {
	a := newAcceptor(t, "a")
	prepare := func(ballot expertmap.Ballot, from string) expertmap.Kind {
		return handle(t, a, expertmap.Message{Kind: expertmap.KindPrepare, Ballot: ballot, FromIncarnation: from, ToIncarnation: "a"})
	}
	assert.Equal(t, prepare(5, "c"), expertmap.KindPromise)
	assert.Equal(t, prepare(5, "c"), expertmap.KindPromise)
	assert.Equal(t, prepare(4, "d"), expertmap.KindRefused)
	assert.Equal(t, prepare(5, "d"), expertmap.KindRefused)
	for _, kind := range []expertmap.Kind{expertmap.KindStage, expertmap.KindHold, expertmap.KindConfirm, expertmap.KindDecide} {
		m := expertmap.Message{Kind: kind, Ballot: 6, FromIncarnation: "d", ToIncarnation: "a"}
		assert.Equal(t, handle(t, a, m), expertmap.KindRefused, string(kind))
	}
}

// sendPromises answers a coordinator's prepare requests with the given states
// of the ranks.
func sendPromises(c *expertmap.Coordinator, states []expertmap.EngineState) {
	for i, request := range c.Requests() {
		c.Handle(expertmap.Message{
			Kind:            expertmap.KindPromise,
			From:            i,
			FromIncarnation: request.ToIncarnation,
			ToIncarnation:   request.FromIncarnation,
			Ballot:          request.Ballot,
			Body:            expertmap.Body{State: &states[i]},
		})
	}
}

func newCoordinator() *expertmap.Coordinator {
	return expertmap.NewCoordinator(expertmap.CoordinatorConfig{Incarnation: "a0", Ballot: 1, Incarnations: []string{"a0", "a1"}})
}

func TestDecisionOfEarlierBallotNeedsSecondRound(t *testing.T) {
	followed := expertmap.EngineState{Epoch: 1, Last: expertmap.Decision{Instance: 2, Activate: true, Epoch: 1}}
	holding := expertmap.EngineState{Epoch: 1, Last: expertmap.Decision{Instance: 1}, Held: &expertmap.Hold{Instance: 2}}
	c := newCoordinator()
	sendPromises(c, []expertmap.EngineState{followed, holding})
	assert.Equal(t, c.Phase(), expertmap.PhaseConfirm)

	c = newCoordinator()
	other := holding
	sendPromises(c, []expertmap.EngineState{holding, other})
	assert.Equal(t, c.Phase(), expertmap.PhaseConfirm)
}

func TestCoordinatorAbandonsBallotWhenAgentRestarts(t *testing.T) {
	c := newCoordinator()
	c.Handle(expertmap.Message{
		Kind: expertmap.KindWrongIncarnation, From: 1, FromIncarnation: "a1-new", ToIncarnation: "a0", Ballot: 1,
	})
	assert.Equal(t, c.Phase(), expertmap.PhaseAbandoned)
}
