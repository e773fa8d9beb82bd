package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/admission"
	"quetzalbend/internal/wire"
)

// noticeWait is how long a call waits before its entry is told that it is
// taken care of. Entries give up agents that say nothing at all.
const noticeWait = 400 * time.Millisecond

// ticket is a call at the gate.
type ticket struct {
	request admission.Request
	decided chan struct{} // closed once the call runs or is refused
	refused string        // reason, read after decided
}

// gate lets calls through to the target as its admission controller decides.
type gate struct {
	now  func() time.Time
	news chan struct{} // asks for a report of the target's load

	lock       sync.Mutex
	controller *admission.Controller
	tickets    map[uint64]*ticket
	lastID     uint64
	closed     string // reason for which nothing is let in; empty if open
}

func newGate(now func() time.Time, config admission.Config) *gate {
	return &gate{
		now:        now,
		news:       make(chan struct{}, 1),
		controller: admission.NewController(now(), config),
		tickets:    make(map[uint64]*ticket),
	}
}

// enter waits until the request may run and returns its ticket, or refuses it.
// It calls notice if that takes a while.
func (g *gate) enter(ctx context.Context, request admission.Request, notice func()) (*ticket, *wire.Refused) {
	t, refused := g.offer(request)
	if refused != nil {
		return nil, refused
	}
	timer := time.NewTimer(noticeWait)
	defer timer.Stop()
	for {
		select {
		case <-t.decided:
			if t.refused != "" {
				return nil, g.refusal(t.refused)
			}
			return t, nil
		case <-timer.C:
			notice()
		case <-ctx.Done():
			if g.abandon(t) {
				return nil, &wire.Refused{Reason: endReason(ctx)}
			}
			<-t.decided
		}
	}
}

func (g *gate) offer(request admission.Request) (*ticket, *wire.Refused) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.closed != "" {
		return nil, &wire.Refused{Reason: g.closed, RetryAfterMs: g.controller.RetryAfter().Milliseconds()}
	}
	g.lastID++
	request.ID = g.lastID
	t := &ticket{request: request, decided: make(chan struct{})}
	decision := g.controller.Offer(request)
	if decision.Verdict == admission.Refused {
		return nil, &wire.Refused{Reason: reasonBusy, RetryAfterMs: decision.RetryAfter.Milliseconds()}
	}
	g.tickets[request.ID] = t
	if decision.Displaced != 0 {
		g.refuse(decision.Displaced, reasonDisplaced)
	}
	g.advance()
	return t, nil
}

func (g *gate) refusal(reason string) *wire.Refused {
	g.lock.Lock()
	defer g.lock.Unlock()
	return &wire.Refused{Reason: reason, RetryAfterMs: g.controller.RetryAfter().Milliseconds()}
}

// refuse turns a waiting call away. The caller holds the lock.
func (g *gate) refuse(id uint64, reason string) {
	t := g.tickets[id]
	delete(g.tickets, id)
	t.refused = reason
	close(t.decided)
}

// abandon takes a waiting call out; false if it has been decided already.
func (g *gate) abandon(t *ticket) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if _, waits := g.tickets[t.request.ID]; !waits {
		return false
	}
	delete(g.tickets, t.request.ID)
	g.controller.Remove(t.request)
	g.advance()
	return true
}

// advance starts what may run now. The caller holds the lock.
func (g *gate) advance() {
	for _, id := range g.controller.Next(g.now()) {
		t := g.tickets[id]
		delete(g.tickets, id)
		close(t.decided)
	}
	if g.controller.Blocked() {
		select {
		case g.news <- struct{}{}:
		default:
		}
	}
}

// update changes the controller and starts what may run then.
func (g *gate) update(change func(c *admission.Controller, now time.Time)) {
	g.lock.Lock()
	defer g.lock.Unlock()
	change(g.controller, g.now())
	g.advance()
}

// note changes the controller where nothing can run because of it.
func (g *gate) note(change func(c *admission.Controller, now time.Time)) {
	g.lock.Lock()
	defer g.lock.Unlock()
	change(g.controller, g.now())
}

func (g *gate) leave(t *ticket, end admission.End) {
	g.update(func(c *admission.Controller, now time.Time) { c.End(now, t.request.ID, end) })
}

func (g *gate) confirm(t *ticket, incarnation string) {
	g.update(func(c *admission.Controller, now time.Time) { c.Confirm(now, t.request.ID, incarnation) })
}

// close refuses all that wait and whatever comes, for the reason given; an
// empty reason opens the gate again.
func (g *gate) close(reason string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.closed = reason
	if reason == "" {
		return
	}
	for _, id := range g.controller.Drain() {
		g.refuse(id, reason)
	}
}

func (g *gate) view() admission.View {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.controller.View()
}

func (g *gate) incarnation() string {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.controller.Incarnation()
}

func (g *gate) stalled() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.controller.Stalled(g.now())
}

func endReason(ctx context.Context) string {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errLeaving):
		return reasonLeaving
	case errors.Is(cause, context.DeadlineExceeded):
		return reasonDeadline
	default:
		return reasonCancelled
	}
}
