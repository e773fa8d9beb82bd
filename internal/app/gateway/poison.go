package gateway

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"net"
	"slices"
	"sync"
	"time"

	"quetzalbend/internal/adapter/poisonwire"
	"quetzalbend/internal/core/poison"
	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/wire"
)

const (
	evidenceRefresh = time.Second // between datagrams with all parts that are not allowed, for gateways that start
	maxSentParts    = 96          // of a datagram
)

// poisonGuard keeps requests that crash targets, or whose prompts have a part that does,
// away from them.
type poisonGuard struct {
	gateway *Gateway
	table   *poison.Table
	watch   *poison.Watch
	checker checker
	log     *eventlog.Log

	barred chan struct{} // receives when this gateway has observed what may have to be kept in the store

	mu          sync.Mutex
	refreshedAt time.Time
}

func newPoisonGuard(dialer *net.Dialer, g *Gateway) *poisonGuard {
	return &poisonGuard{
		gateway: g,
		table:   poison.NewTable(),
		watch:   poison.NewWatch(g.node.Stall),
		checker: newChecker(dialer),
		log:     g.log,
		barred:  make(chan struct{}, 1),
	}
}

// admit decides whether a request with these parts may be sent now.
func (g *poisonGuard) admit(parts []string, now time.Time) poison.Decision {
	return g.table.Admit(parts, g.tries, now)
}

// tries reports whether this gateway sends the trials in a turn.
func (g *poisonGuard) tries(turn int64) bool {
	return poison.Tries(turn, g.gateway.node.Name, g.gateway.peers.alive(time.Now()))
}

// endTrial records how the trial of a request with these parts has ended.
func (g *poisonGuard) endTrial(parts []string, end poison.End) {
	if end == poison.Lost || end == poison.CutOff {
		g.table.LoseTrial(parts, time.Now())
		return
	}
	g.table.EndTrial(parts)
}

// incarnationHash identifies an incarnation of a target. One that restarts may keep its
// id.
func incarnationHash(target registry.Usable) uint64 {
	h := fnv.New64a()
	h.Write([]byte(target.ID)) // never returns an error
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(target.Born)))
	return h.Sum64()
}

// beginRun records that the request is sent to a target, with the parts that are to blame if
// the target goes down.
func (x *exchange) beginRun(target registry.Usable, blamed []string) {
	x.resumed = x.stream.last > 0
	loss := poison.Loss{Parts: x.parts, Blamed: blamed}
	if x.answered {
		loss = loss.OfRequest()
	}
	x.run = x.gateway.poison.watch.Begin(target, incarnationHash(target), loss, time.Now())
}

// endRun records how the running attempt has ended, once.
func (x *exchange) endRun(end poison.End, now time.Time) {
	g := x.gateway.poison
	target := x.run.Target()
	found, ok := x.run.End(end, func() bool { return g.isUsable(target) }, now)
	if ok {
		g.record(found, target, now)
	}
	if end == poison.CutOff {
		g.checkDue(now)
	}
}

// isUsable reports whether an incarnation of a target gets requests. One that leaves doesn't.
func (g *poisonGuard) isUsable(target registry.Usable) bool {
	view := g.gateway.state.View()
	return slices.ContainsFunc(view.Targets[target.Service], func(t registry.Usable) bool {
		return t.ID == target.ID && t.Born == target.Born
	})
}

// recordAnswered records, once, that a target goes on with the answer to the request: its
// shared parts do not crash targets.
func (x *exchange) recordAnswered() {
	if x.answered {
		return
	}
	x.answered = true
	x.run.Answered()
	g := x.gateway.poison
	g.logChanges(g.table.RecordAnswered(x.caller.SharedParts, time.Now()))
}

// recordComplete records that a target has answered the request. One that has only gone on
// with a stream has not run what may crash targets before that.
func (x *exchange) recordComplete(now time.Time) {
	g := x.gateway.poison
	parts := x.parts
	if x.resumed {
		parts = x.caller.SharedParts
	}
	g.logChanges(g.table.RecordAnswered(parts, now))
}

// ended records that a target refuses connections.
func (g *poisonGuard) ended(target registry.Usable, now time.Time) {
	if found, ok := g.watch.Ended(incarnationHash(target), now); ok {
		g.record(found, target, now)
	}
}

// record records what has been found out about a target.
func (g *poisonGuard) record(found poison.Finding, target registry.Usable, now time.Time) {
	hash := incarnationHash(target)
	if found.Revived {
		g.logChanges(g.table.RecordAlive(hash, now))
		return
	}
	for _, loss := range found.Losses {
		g.log.Decision("lost in a crash", eventlog.Fields{
			"target": target.ID, "born": target.Born, "parts": loss.Parts, "blamed": loss.Blamed, "ms_ago": now.Sub(found.At).Milliseconds(),
		})
	}
	g.logChanges(g.table.RecordEarlierCrash(found.Losses, hash, found.At, now))
	select {
	case g.barred <- struct{}{}:
	default: // the writer has not yet handled the last one
	}
}

func (g *poisonGuard) logChanges(changes []poison.Change) {
	for _, c := range changes {
		g.log.State("verdict on a part of prompts", eventlog.Fields{"part": c.Part, "from": c.From.String(), "to": c.To.String()})
	}
}

// toSend returns the evidence for the next datagram to the peers: what was observed since
// a time, and from time to time all parts that are not allowed.
func (g *poisonGuard) toSend(since, now time.Time) []*wire.PartCrashes {
	evidence := g.table.Observed(since)
	slices.SortFunc(evidence, func(a, b poison.Evidence) int { return cmp.Compare(b.Uncleared(), a.Uncleared()) })
	g.mu.Lock()
	refresh := now.Sub(g.refreshedAt) >= evidenceRefresh
	if refresh {
		g.refreshedAt = now
	}
	g.mu.Unlock()
	if refresh {
		evidence = append(g.table.Kept(now), evidence...)
	}
	return poisonwire.Encode(evidence[:min(len(evidence), maxSentParts)], now)
}

// merge adds the evidence of a peer.
func (g *poisonGuard) merge(crashes []*wire.PartCrashes, now time.Time) {
	if len(crashes) > 0 {
		g.logChanges(g.table.Merge(poisonwire.Decode(crashes, now), now))
	}
}
