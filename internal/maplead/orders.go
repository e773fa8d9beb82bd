package maplead

import (
	"context"
	"sync"
	"time"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/mapchange"
	"quetzalbend/internal/eventlog"
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
	// maxRounds limits the rounds of orders that are sent without reading the ranks
	// again. A change takes three rounds from the hold to its release.
	maxRounds = 6
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
// the group reaches it.
func (g *group) advance(ctx context.Context, members []member, ranks []mapchange.Rank, token int64) {
	for range maxRounds {
		orders := mapchange.Next(ranks, g.changePlan())
		if len(orders) == 0 || !g.sendOrders(ctx, members, ranks, orders, token) {
			return
		}
	}
}

// sendOrders sends all orders concurrently, and waits for all but the prepare orders. It
// applies the accepted orders to ranks and reports whether all ranks have accepted theirs.
func (g *group) sendOrders(ctx context.Context, members []member, ranks []mapchange.Rank, orders []mapchange.Order, token int64) bool {
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
		wait.Go(func() { answers[i] = g.send(ctx, send, orderTimeout) })
	}
	wait.Wait()
	allAccepted := true
	for i, order := range orders {
		switch {
		case order.Operation == mapchange.Prepare:
			continue
		case answers[i] == platform.OrderAccepted:
			mapchange.Apply(&ranks[order.Rank], order)
			continue
		case answers[i] == platform.OrderUnknown:
			g.lastUnanswered = time.Now()
		}
		allAccepted = false
	}
	return allAccepted
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
	go func() {
		answer := g.send(ctx, s, prepareOrderTimeout)
		g.mu.Lock()
		defer g.mu.Unlock()
		if answer == platform.OrderAccepted {
			g.preparation[address] = preparation{s.session, version}
		}
		if g.preparing[address] == version {
			delete(g.preparing, address)
		}
	}()
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
	if answer == platform.OrderAccepted {
		g.accepted[s.target.Address] = s.session
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
