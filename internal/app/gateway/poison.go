package gateway

import (
	"encoding/binary"
	"hash/fnv"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/poisonwire"
	"quetzalbend/internal/core/poison"
	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/supervise"
	"quetzalbend/internal/wire"
)

const (
	evidenceRefresh = time.Second // between datagrams with all parts that are not allowed, for gateways that start
	maxSentParts    = 48          // of a datagram
)

// poisonGuard keeps requests whose prompts have a part that crashes targets away from
// them. It finds out whether a target that has not answered has crashed: a crashed one
// refuses connections, whereas one that only lost an answer accepts them.
type poisonGuard struct {
	table  *poison.Table
	losses *poison.Losses
	dialer *net.Dialer
	log    *eventlog.Log
	peers  *peers

	barred chan struct{} // receives when this gateway has observed what makes a part suspect or refused

	mu          sync.Mutex
	checking    map[uint64]bool // targets whose connections are being checked
	refreshedAt time.Time
}

func newPoisonGuard(dialer *net.Dialer, log *eventlog.Log, peers *peers) *poisonGuard {
	return &poisonGuard{
		table: poison.NewTable(), losses: poison.NewLosses(),
		dialer: dialer, log: log, peers: peers,
		barred:   make(chan struct{}, 1),
		checking: make(map[uint64]bool),
	}
}

// admit decides whether a request with these parts may be sent now.
func (g *poisonGuard) admit(parts []string, now time.Time) poison.Decision {
	return g.table.Admit(parts, g.tries, now)
}

// tries reports whether this gateway sends the trials in a turn.
func (g *poisonGuard) tries(turn int64) bool {
	return poison.Tries(turn, g.peers.gateway.node.Name, g.peers.alive(time.Now()))
}

func (g *poisonGuard) endTrial(x *exchange) { g.table.EndTrial(x.parts) }

// incarnationHash identifies an incarnation of a target. One that restarts may keep its
// id.
func incarnationHash(target registry.Usable) uint64 {
	h := fnv.New64a()
	h.Write([]byte(target.ID)) // never returns an error
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(target.Born)))
	return h.Sum64()
}

// recordCrashSigns records what an attempt tells about a crash of its target.
func (x *exchange) recordCrashSigns(o outcome, target registry.Usable, now time.Time) {
	switch {
	case o == refused:
		x.gateway.poison.crashed(target, now)
	case o.lost() && !x.answered:
		// A target that the watchdog has left, or that a caller has, is silent or busy: the
		// end of a crashed one ends the attempt.
		check := o != timedOut && x.request.Context().Err() == nil
		x.gateway.poison.lost(target, poison.Loss{Parts: x.parts, Blamed: x.blamed}, check, now)
	}
}

// recordAnswered records, once, that a target goes on with the answer to the request.
func (x *exchange) recordAnswered() {
	if x.answered {
		return
	}
	x.answered = true
	g := x.gateway.poison
	g.logChanges(g.table.RecordAnswered(x.parts, time.Now()))
}

// lost records that a request was lost at a target. If check is set, it finds out whether
// the target has crashed.
func (g *poisonGuard) lost(target registry.Usable, loss poison.Loss, check bool, now time.Time) {
	incarnation := incarnationHash(target)
	if g.losses.Add(incarnation, loss, now) {
		g.recordCrash([]poison.Loss{loss}, target, now)
		return
	}
	if check && g.beginCheck(incarnation) {
		go supervise.Task(g.log, "check of a target", func() { g.check(target, incarnation) })
	}
}

// crashed records that a target refuses connections.
func (g *poisonGuard) crashed(target registry.Usable, now time.Time) {
	incarnation := incarnationHash(target)
	if losses := g.losses.Crashed(incarnation, now); len(losses) > 0 {
		g.recordCrash(losses, target, now)
	}
}

func (g *poisonGuard) recordCrash(losses []poison.Loss, target registry.Usable, now time.Time) {
	for _, loss := range losses {
		g.log.Decision("lost in a crash", eventlog.Fields{"target": target.ID, "born": target.Born, "shared_parts": loss.Parts, "blamed": loss.Blamed})
	}
	changes := g.table.RecordCrash(losses, incarnationHash(target), now)
	g.logChanges(changes)
	if slices.ContainsFunc(changes, func(c poison.Change) bool { return c.To != poison.Allowed }) {
		select {
		case g.barred <- struct{}{}:
		default: // the writer has not yet handled the last one
		}
	}
}

func (g *poisonGuard) beginCheck(incarnation uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.checking[incarnation] {
		return false
	}
	g.checking[incarnation] = true
	return true
}

// check connects to a target to find out whether it has crashed.
func (g *poisonGuard) check(target registry.Usable, incarnation uint64) {
	started := time.Now()
	conn, err := g.dialer.Dial("tcp", target.Address)
	g.mu.Lock()
	delete(g.checking, incarnation)
	g.mu.Unlock()
	fields := eventlog.Fields{"target": target.ID, "refused": refusedConnection(err), "ms": time.Since(started).Milliseconds()}
	switch {
	case err == nil:
		g.losses.Alive(incarnation, started)
		err = conn.Close()
	case refusedConnection(err):
		g.crashed(target, time.Now())
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	g.log.Decision("target checked", fields)
}

// refusedConnection reports whether nothing listens at the address that was dialled.
func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (g *poisonGuard) logChanges(changes []poison.Change) {
	for _, c := range changes {
		g.log.State("verdict on a part of prompts", eventlog.Fields{"part": c.Part, "from": c.From.String(), "to": c.To.String()})
	}
}

// toSend returns the evidence for the next datagram to the peers: what was observed since
// a time, and from time to time all parts that are not allowed.
func (g *poisonGuard) toSend(since, now time.Time) []*wire.PartCrashes {
	evidence := g.table.Observed(since)
	g.mu.Lock()
	refresh := now.Sub(g.refreshedAt) >= evidenceRefresh
	if refresh {
		g.refreshedAt = now
	}
	g.mu.Unlock()
	if refresh {
		evidence = append(g.table.NotAllowed(now), evidence...)
	}
	return poisonwire.Encode(evidence[:min(len(evidence), maxSentParts)], now)
}

// merge adds the evidence of a peer.
func (g *poisonGuard) merge(crashes []*wire.PartCrashes, now time.Time) {
	if len(crashes) > 0 {
		g.logChanges(g.table.Merge(poisonwire.Decode(crashes, now), now))
	}
}
