package mapgroup

import (
	"context"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/core/expertmap"
)

// ballotRounds is the number of times that a ballot asks ranks which have not
// answered.
const ballotRounds = 8

// lead coordinates one ballot if this is the lowest rank that answers. The
// order of ranks serves progress only: any number of agents may lead at once.
func (r *Runner) lead(ctx context.Context) {
	for lower := range r.config.Rank {
		if _, ok := r.hello(ctx, lower); ok {
			return
		}
	}
	incarnations, states, ok := r.discover(ctx)
	if !ok {
		r.count(func(c *Counters) { c.Unanswered++ })
		return
	}
	proposal := r.plans.propose(states[r.config.Rank])
	if proposal == nil && quiet(states) {
		return
	}
	start := expertmap.CoordinatorConfig{
		Rank:         r.config.Rank,
		Incarnation:  r.config.Incarnation,
		Ballot:       expertmap.NextBallot(r.seen, r.config.Incarnation),
		Incarnations: incarnations,
		LeadSteps:    r.config.LeadSteps,
	}
	if proposal != nil {
		start.Proposal = &expertmap.Map{Payload: proposal.payload}
	}
	r.seen = start.Ballot
	coordinator := expertmap.NewCoordinator(start)
	r.carry(ctx, coordinator)
	r.seen = max(r.seen, coordinator.HigherBallot())
	r.finish(coordinator, proposal)
}

// discover learns all ranks' incarnations before the ballot's first message.
func (r *Runner) discover(ctx context.Context) ([]string, []*expertmap.EngineState, bool) {
	incarnations := make([]string, r.config.Ranks)
	states := make([]*expertmap.EngineState, r.config.Ranks)
	var group errgroup.Group
	for rank := range r.config.Ranks {
		group.Go(func() error {
			if m, ok := r.hello(ctx, rank); ok {
				incarnations[rank], states[rank] = m.FromIncarnation, m.Body.State
			}
			return nil
		})
	}
	_ = group.Wait()
	for rank, incarnation := range incarnations {
		if incarnation == "" || states[rank] == nil {
			return nil, nil, false
		}
	}
	return incarnations, states, true
}

// quiet reports whether earlier ballots have left nothing to mend. It only
// saves a ballot: the states may have changed since.
func quiet(states []*expertmap.EngineState) bool {
	for _, s := range states {
		if s.Epoch == 0 || s.Epoch != states[0].Epoch || s.Held != nil || s.Last.Instance != states[0].Last.Instance {
			return false
		}
	}
	return true
}

func (r *Runner) hello(ctx context.Context, rank int) (expertmap.Message, bool) {
	return r.ask(ctx, expertmap.Message{
		Kind:            expertmap.KindHello,
		From:            r.config.Rank,
		To:              rank,
		FromIncarnation: r.config.Incarnation,
	})
}

// carry sends a ballot's requests until it is over or some rank stays silent.
func (r *Runner) carry(ctx context.Context, coordinator *expertmap.Coordinator) {
	for range ballotRounds {
		phase := coordinator.Phase()
		requests := coordinator.Requests()
		answers := make([]*expertmap.Message, len(requests))
		var group errgroup.Group
		for i, request := range requests {
			group.Go(func() error {
				if answer, ok := r.ask(ctx, request); ok {
					answers[i] = &answer
				}
				return nil
			})
		}
		_ = group.Wait()
		for _, answer := range answers {
			if answer != nil {
				coordinator.Handle(*answer)
			}
		}
		if coordinator.Finished() || ctx.Err() != nil {
			return
		}
		if coordinator.Phase() == phase {
			r.count(func(c *Counters) { c.Unanswered++ })
		}
	}
}

// ask sends one message, to this rank's own acceptor or over the wire.
func (r *Runner) ask(ctx context.Context, m expertmap.Message) (expertmap.Message, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.config.AskTimeout)
	defer cancel()
	if m.To == r.config.Rank {
		answer, err := r.accept(ctx, m)
		return answer, err == nil
	}
	w, err := expertmap.Encode(r.config.Group, m)
	if err != nil {
		return expertmap.Message{}, false
	}
	answer, err := r.ports.Peers.Ask(ctx, m.To, w)
	if err != nil || answer == nil {
		return expertmap.Message{}, false
	}
	decoded, err := expertmap.Decode(answer)
	return decoded, err == nil
}

// finish counts the outcome of a ballot.
func (r *Runner) finish(coordinator *expertmap.Coordinator, proposal *proposal) {
	switch {
	case coordinator.Activated():
		r.plans.spend(proposal)
		r.count(func(c *Counters) {
			c.Activated++
			c.Moves += int64(proposal.moves)
		})
		log.WithFields(log.Fields{"group": r.config.Group, "rank": r.config.Rank, "moves": proposal.moves}).
			Debug("expert map changed")
	case coordinator.Phase() == expertmap.PhaseDone:
		r.count(func(c *Counters) { c.Repaired++ })
	default:
		r.count(func(c *Counters) { c.Abandoned++ })
	}
}
