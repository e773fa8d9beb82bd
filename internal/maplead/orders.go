package maplead

import (
	"context"
	"sync"
	"time"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/mapchange"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/supervise"
	"quetzalbend/platform"
)

const (
	// orderTimeout limits the orders that are small and sent while a step is held.
	orderTimeout = 25 * time.Millisecond
	// prepareOrderTimeout limits prepare orders. Each names the experts of all ranks, so
	// those of a large group keep the leader's link busy for a while.
	prepareOrderTimeout = time.Second
	// unansweredWindow is the time after an order without an answer in which other orders
	// are likely to get no answer as well.
	unansweredWindow = 2 * time.Second
	// rereadTimeout limits the reading of all ranks right before a step is held.
	rereadTimeout = 150 * time.Millisecond
	// maxRounds limits the rounds of orders that are sent without reading the ranks again:
	// three from the hold to its release, and those that repeat orders without an answer.
	maxRounds = 12
)

func (g *group) changePlan() mapchange.Plan {
	return mapchange.Plan{
		WantedVersion: g.targetVersion,
		Abandoned:     g.abandoned,
		OrdersLost:    time.Since(g.lastUnanswered) < unansweredWindow,
	}
}

// advance sends the orders that are due and, once these are accepted, those that
// follow, without reading the ranks again: a held step blocks the group as soon as
// the group reaches it. Orders that got no answer are sent again.
func (g *group) advance(ctx context.Context, members []member, ranks []mapchange.Rank, token int64) {
	uncertain := make(map[string]bool) // addresses of ranks whose state must be read again
	reread := false
	for range maxRounds {
		orders := mapchange.Next(ranks, g.changePlan())
		if len(orders) == 0 {
			break
		}
		if orders[0].Operation == mapchange.Hold && !reread {
			if members, reread = g.reread(ctx, members); !reread {
				break
			}
			ranks = g.currentRanks(members, token)
			continue
		}
		if !g.sendOrders(ctx, members, ranks, orders, token, uncertain) {
			break
		}
	}
	for address := range uncertain {
		g.leader.reports.invalidate(address, time.Now())
	}
}

// reread reads all members again and reports whether all have answered. If a rank became
// unreachable while a step is held, it could not be armed, and the group would wait for it.
func (g *group) reread(ctx context.Context, members []member) ([]member, bool) {
	targets := make([]fleet.Target, len(members))
	for i := range members {
		targets[i] = members[i].target
	}
	if !g.leader.reports.reread(ctx, targets, rereadTimeout) {
		return members, false
	}
	members = g.leader.reports.members(targets, time.Now())[g.name]
	sortByIndex(members)
	return members, true
}

// sendOrders sends all orders concurrently, and waits for all but the prepare orders. It
// applies the accepted orders to ranks and adds the other ranks to uncertain. It reports
// false if a rank has refused its order.
func (g *group) sendOrders(ctx context.Context, members []member, ranks []mapchange.Rank, orders []mapchange.Order, token int64, uncertain map[string]bool) bool {
	var wait sync.WaitGroup
	answers := make([]platform.OrderAnswer, len(orders))
	for i, order := range orders {
		rank := &ranks[order.Rank]
		send := sending{target: members[order.Rank].target, session: rankSession{rank.Epoch, rank.Born, token}}
		send.order = platform.RankOrder{Order: order, Epoch: rank.Epoch, Expected: rank.Sequence, Token: token}
		switch order.Operation {
		case mapchange.Prepare:
			rank.Busy = true
			g.startPrepare(ctx, send)
			continue
		case mapchange.Disarm:
			g.abandoned[order.Version] = true
		}
		wait.Go(func() {
			supervise.Task(g.leader.Log, "order", func() { answers[i] = g.send(ctx, send, orderTimeout) })
		})
	}
	wait.Wait()
	refused := false
	for i, order := range orders {
		rank := &ranks[order.Rank]
		switch {
		case order.Operation == mapchange.Prepare:
			continue
		case answers[i] == platform.OrderAccepted:
			mapchange.Apply(rank, order)
			g.leader.reports.accepted(*rank, time.Now())
			delete(uncertain, rank.Target)
			continue
		case answers[i] == platform.OrderUnknown:
			g.lastUnanswered = time.Now()
		default:
			refused = true
		}
		uncertain[rank.Target] = true
	}
	return !refused
}

// sending is an order with the rank that it is sent to.
type sending struct {
	target  fleet.Target
	session rankSession // of the rank, as last read
	order   platform.RankOrder
}

// startPrepare sends a prepare order in the background: the ranks that answer late do not
// delay the others.
func (g *group) startPrepare(ctx context.Context, s sending) {
	address, version := s.target.Address, s.order.Version
	s.order.Map = g.planned
	g.mu.Lock()
	defer g.mu.Unlock()
	g.preparing[address] = version
	go supervise.Task(g.leader.Log, "preparation", func() { g.prepare(ctx, s, address, version) })
}

// prepare sends a prepare order and records its outcome.
func (g *group) prepare(ctx context.Context, s sending, address string, version int64) {
	answer := g.send(ctx, s, prepareOrderTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	if answer == platform.OrderAccepted {
		g.preparation[address] = preparation{s.session, version}
	}
	if g.preparing[address] == version {
		delete(g.preparing, address)
	}
}

// send sends one order and records its outcome.
func (g *group) send(ctx context.Context, s sending, timeout time.Duration) platform.OrderAnswer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := g.leader.Ranks.SendOrder(ctx, s.target, s.order)
	if err != nil || answer != platform.OrderAccepted {
		g.logOrder(s.order, s.target.Address, answer, err)
	}
	if answer == platform.OrderFenced {
		g.leader.setFenced(s.order.Token)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress.record(s.order.Operation, answer, time.Now())
	if answer == platform.OrderAccepted && g.accepted[s.target.Address].session != s.session {
		g.accepted[s.target.Address] = acceptance{s.session, time.Now()}
	}
	return answer
}

func (g *group) logOrder(order platform.RankOrder, target string, answer platform.OrderAnswer, err error) {
	fields := eventlog.Fields{
		"group": g.name, "target": target, "operation": string(order.Operation), "version": order.Version,
		"step": order.Step, "epoch": order.Epoch, "token": order.Token, "answer": answer.String(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	g.leader.Log.Decision("order not accepted", fields)
}
