package mapgroup

import (
	"context"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/core/expertmap"
)

// ballotRounds is the largest number of rounds of requests in a ballot.
const ballotRounds = 8

// coordinate runs one ballot if this is the lowest rank that answers. The rule
// only avoids competing ballots: the protocol is safe with any number of
// coordinators at once.
func (r *Runner) coordinate(ctx context.Context) {
	for lower := range r.config.Rank {
		if _, ok := r.hello(ctx, lower); ok {
			return
		}
	}
	incarnations, states, ok := r.discover(ctx)
	if !ok {
		r.updateCounters(func(c *Counters) { c.Unanswered++ })
		return
	}
	proposal := r.planner.propose(states[r.config.Rank])
	if proposal == nil && nothingToRepair(states) {
		return
	}
	coordinatorConfig := expertmap.CoordinatorConfig{
		Rank:         r.config.Rank,
		Incarnation:  r.config.Incarnation,
		Ballot:       expertmap.NextBallot(r.highestBallot, r.config.Incarnation),
		Incarnations: incarnations,
		LeadSteps:    r.config.LeadSteps,
	}
	if proposal != nil {
		coordinatorConfig.Proposal = &expertmap.Map{Payload: proposal.payload}
	}
	r.highestBallot = coordinatorConfig.Ballot
	coordinator := expertmap.NewCoordinator(coordinatorConfig)
	r.runBallot(ctx, coordinator)
	r.highestBallot = max(r.highestBallot, coordinator.HigherBallot())
	r.recordOutcome(coordinator, proposal)
}

// discover reads the incarnations and states of all ranks before the first
// message of a ballot. It reports false if some rank does not answer.
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

// nothingToRepair reports whether earlier ballots have left no change
// unfinished: all engines are in the same epoch, have no hold, and last followed
// a decision on the same instance. The result only avoids an unnecessary ballot,
// since the states may have changed after they were read.
func nothingToRepair(states []*expertmap.EngineState) bool {
	for _, s := range states {
		if s.Epoch == 0 || s.Epoch != states[0].Epoch || s.Held != nil || s.Last.Instance != states[0].Last.Instance {
			return false
		}
	}
	return true
}

// hello asks a rank's agent for its incarnation and its engine's state.
func (r *Runner) hello(ctx context.Context, rank int) (expertmap.Message, bool) {
	return r.sendRequest(ctx, expertmap.Message{
		Kind:            expertmap.KindHello,
		From:            r.config.Rank,
		To:              rank,
		FromIncarnation: r.config.Incarnation,
	})
}

// runBallot sends a ballot's requests until the ballot has finished or its
// rounds are used up.
func (r *Runner) runBallot(ctx context.Context, coordinator *expertmap.Coordinator) {
	for range ballotRounds {
		phase := coordinator.Phase()
		requests := coordinator.Requests()
		answers := make([]*expertmap.Message, len(requests))
		var group errgroup.Group
		for i, request := range requests {
			group.Go(func() error {
				if answer, ok := r.sendRequest(ctx, request); ok {
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
			r.updateCounters(func(c *Counters) { c.Unanswered++ })
		}
	}
}

// sendRequest sends one message to this rank's own acceptor or to another
// rank's agent. It reports false if there is no answer.
func (r *Runner) sendRequest(ctx context.Context, m expertmap.Message) (expertmap.Message, bool) {
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

// recordOutcome counts the outcome of a ballot and charges an activated change
// to the fetch budget.
func (r *Runner) recordOutcome(coordinator *expertmap.Coordinator, proposal *proposal) {
	switch {
	case coordinator.Activated():
		r.planner.spendBudget(proposal)
		r.updateCounters(func(c *Counters) {
			c.Activated++
			c.Moves += int64(proposal.moves)
		})
		log.WithFields(log.Fields{"group": r.config.Group, "rank": r.config.Rank, "moves": proposal.moves}).
			Debug("expert map changed")
	case coordinator.Phase() == expertmap.PhaseDone:
		r.updateCounters(func(c *Counters) { c.Repaired++ })
	default:
		r.updateCounters(func(c *Counters) { c.Abandoned++ })
	}
}
