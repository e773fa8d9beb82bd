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
	timer  *time.Timer // set while the target is leaving
}

func newStreamDrain(work context.Context, grace time.Duration) *streamDrain {
	h := &streamDrain{work: work, grace: grace}
	h.ctx, h.cancel = context.WithCancelCause(work)
	return h
}

// context returns the context for streams that start now.
func (h *streamDrain) context() context.Context {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.ctx
}

// setLeaving starts the grace time when the target leaves and stops it when the
// target returns. If streams were cancelled by then, later ones get a new
// context.
func (h *streamDrain) setLeaving(leaving bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	switch {
	case leaving && h.timer == nil:
		cancel := h.cancel
		h.timer = time.AfterFunc(h.grace, func() { cancel(errLeaving) })
	case !leaving && h.timer != nil:
		if !h.timer.Stop() {
			h.ctx, h.cancel = context.WithCancelCause(h.work)
		}
		h.timer = nil
	}
}
