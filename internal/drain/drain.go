package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/pause"
)

// Plan holds the phases of a drain, as times from its start.
type Plan struct {
	Accept  time.Duration // until then, all requests are taken
	Keep    time.Duration // until then, connections without a request are kept
	Answers time.Duration // until then, requests run that were taken
	Close   time.Duration // until then, the last answers are written
}

// Drain is the drain of one server. Handlers ask it which requests they may take.
type Drain struct {
	plan    Plan
	started atomic.Pointer[time.Time] // nil: not yet
	over    context.Context           // ends when requests may run no longer
	end     context.CancelFunc

	mu     sync.Mutex
	open   map[net.Conn]bool
	unused chan struct{} // signals that the last connection was closed
}

// New returns a drain that has not begun.
func New(plan Plan) *Drain {
	d := &Drain{plan: plan, open: make(map[net.Conn]bool), unused: make(chan struct{}, 1)}
	d.over, d.end = context.WithCancel(context.Background())
	return d
}

// Watch counts the connections of the server that is to be drained. It is called before the
// server serves.
func (d *Drain) Watch(server *http.Server) { server.ConnState = d.recordState }

func (d *Drain) recordState(conn net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		d.open[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(d.open, conn)
		if len(d.open) == 0 {
			select {
			case d.unused <- struct{}{}:
			default: // signalled already
			}
		}
	case http.StateActive, http.StateIdle:
	}
}

func (d *Drain) connections() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

// Started reports whether the drain has begun. Answers then ask callers to close their
// connections.
func (d *Drain) Started() bool { return d.started.Load() != nil }

// Takes reports whether a request with a deadline may be passed on now. Early requests are,
// even if the end may come before their answer.
func (d *Drain) Takes(now, deadline time.Time) bool {
	return d.TakesWithin(d.plan.Accept, now, deadline)
}

// TakesWithin is like Takes for requests that are taken for a time of their own.
func (d *Drain) TakesWithin(accept time.Duration, now, deadline time.Time) bool {
	started := d.started.Load()
	switch {
	case started == nil:
		return true
	case d.Over():
		return false
	}
	return now.Sub(*started) <= accept || !deadline.After(started.Add(d.plan.Answers))
}

// Context returns a context that ends when requests may run no longer. Those that are left
// are answered then.
func (d *Drain) Context() context.Context { return d.over }

// Over reports whether requests may run no longer.
func (d *Drain) Over() bool { return d.over.Err() != nil }

// Run drains a server. It returns once all connections are closed, which it enforces at the
// end of the plan. If ctx ends, the last phase begins at once.
func (d *Drain) Run(ctx context.Context, server *http.Server) error {
	started := time.Now()
	d.started.Store(&started)
	defer d.end()
	d.keep(ctx, started)
	answers, cancel := context.WithDeadline(ctx, started.Add(d.plan.Answers))
	defer cancel()
	if server.Shutdown(answers) == nil {
		return nil
	}
	d.end()
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.plan.Close-d.plan.Answers)
	defer cancel()
	err := server.Shutdown(closing)
	if err == nil {
		return nil
	}
	if errClose := server.Close(); errClose != nil {
		return errors.Wrap(errClose, "close connections")
	}
	return errors.Wrap(err, "connections still open at the end of the drain")
}

// keep serves until no connection is open after the requests that are all taken, or until
// connections are kept no longer.
func (d *Drain) keep(ctx context.Context, started time.Time) {
	ctx, cancel := context.WithDeadline(ctx, started.Add(d.plan.Keep))
	defer cancel()
	if !pause.For(ctx, d.plan.Accept) {
		return
	}
	for d.connections() > 0 {
		select {
		case <-d.unused:
		case <-ctx.Done():
			return
		}
	}
}
