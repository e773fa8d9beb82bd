package agent

import (
	"context"
	"sync"
	"time"
)

// streamDrain cancels streams that run longer than the grace time on a target
// that gets no new work, so that entries resume them elsewhere. Only calls that
// may be repeated use its context.
type streamDrain struct {
	work  context.Context
	grace time.Duration

	lock   sync.Mutex
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer // set while the target gets no new work
}

func newStreamDrain(work context.Context, grace time.Duration) *streamDrain {
	d := &streamDrain{work: work, grace: grace}
	d.ctx, d.cancel = context.WithCancelCause(work)
	return d
}

// context returns the context for streams that start now.
func (d *streamDrain) context() context.Context {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.ctx
}

// setLeaving starts the grace time when the target leaves and stops it when the
// target returns. If streams were cancelled by then, later ones get a new
// context.
func (d *streamDrain) setLeaving(leaving bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	switch {
	case leaving && d.timer == nil:
		cancel := d.cancel
		d.timer = time.AfterFunc(d.grace, func() { cancel(errLeaving) })
	case !leaving && d.timer != nil:
		if !d.timer.Stop() {
			d.ctx, d.cancel = context.WithCancelCause(d.work)
		}
		d.timer = nil
	}
}
