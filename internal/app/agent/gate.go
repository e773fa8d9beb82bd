package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/admission"
	"quetzalbend/internal/wire"
)

// noticeDelay is how long a call waits before its entry is told that the agent
// has taken it. Entries give up on agents that send nothing at all.
const noticeDelay = 400 * time.Millisecond

// ticket is a call that waits at the gate or that the gate has let through.
type ticket struct {
	request admission.Request
	decided chan struct{} // closed once the call runs or is refused
	refused string        // reason, read after decided
}

// gate lets calls through to the target as its admission controller decides.
type gate struct {
	now          func() time.Time
	reportWanted chan struct{} // signals that waiting calls need a report of the target's load

	lock       sync.Mutex
	controller *admission.Controller
	tickets    map[uint64]*ticket
	lastID     uint64
	closed     string // reason for which all calls are refused; empty if open
}

func newGate(now func() time.Time, config admission.Config) *gate {
	return &gate{
		now:          now,
		reportWanted: make(chan struct{}, 1),
		controller:   admission.NewController(now(), config),
		tickets:      make(map[uint64]*ticket),
	}
}

// enter waits until the request may run and returns its ticket, or refuses it.
// It calls notice if that takes longer than noticeDelay.
func (g *gate) enter(ctx context.Context, request admission.Request, notice func()) (*ticket, *wire.Refused) {
	t, refused := g.offer(request)
	if refused != nil {
		return nil, refused
	}
	timer := time.NewTimer(noticeDelay)
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
	g.startNext()
	return t, nil
}

func (g *gate) refusal(reason string) *wire.Refused {
	g.lock.Lock()
	defer g.lock.Unlock()
	return &wire.Refused{Reason: reason, RetryAfterMs: g.controller.RetryAfter().Milliseconds()}
}

// refuse rejects a waiting call for the given reason. The caller holds the lock.
func (g *gate) refuse(id uint64, reason string) {
	t := g.tickets[id]
	delete(g.tickets, id)
	t.refused = reason
	close(t.decided)
}

// abandon removes a waiting call. It returns false if the call has already been
// let through or refused.
func (g *gate) abandon(t *ticket) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if _, waiting := g.tickets[t.request.ID]; !waiting {
		return false
	}
	delete(g.tickets, t.request.ID)
	g.controller.Remove(t.request)
	g.startNext()
	return true
}

// startNext lets the calls through that may run now. If the next call may only
// be waiting for a load report, it asks for one. The caller holds the lock.
func (g *gate) startNext() {
	for _, id := range g.controller.Next(g.now()) {
		t := g.tickets[id]
		delete(g.tickets, id)
		close(t.decided)
	}
	if g.controller.Blocked() {
		select {
		case g.reportWanted <- struct{}{}:
		default:
		}
	}
}

// updateAndStart changes the controller and lets the calls through that may run
// then.
func (g *gate) updateAndStart(change func(c *admission.Controller, now time.Time)) {
	g.lock.Lock()
	defer g.lock.Unlock()
	change(g.controller, g.now())
	g.startNext()
}

// updateState changes the controller in a way that cannot allow further calls to
// run.
func (g *gate) updateState(change func(c *admission.Controller, now time.Time)) {
	g.lock.Lock()
	defer g.lock.Unlock()
	change(g.controller, g.now())
}

// release records that a call which was let through has ended.
func (g *gate) release(t *ticket, end admission.End) {
	g.updateAndStart(func(c *admission.Controller, now time.Time) { c.End(now, t.request.ID, end) })
}

func (g *gate) confirm(t *ticket, incarnation string) {
	g.updateAndStart(func(c *admission.Controller, now time.Time) { c.Confirm(now, t.request.ID, incarnation) })
}

// close refuses all waiting and later calls for the given reason. An empty
// reason opens the gate again.
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

// endReason returns the code for the end of a call's context.
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
