package agent

import (
	"context"
	"sync"
	"time"
)

// handBack ends streams that outlast the grace of a target which gets no new
// work, so that entries resume them elsewhere. Only calls that may be repeated
// take its context.
type handBack struct {
	work  context.Context
	grace time.Duration

	lock   sync.Mutex
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer // runs while the target leaves
}

func newHandBack(work context.Context, grace time.Duration) *handBack {
	h := &handBack{work: work, grace: grace}
	h.ctx, h.cancel = context.WithCancelCause(work)
	return h
}

// context is that of streams which start now.
func (h *handBack) context() context.Context {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.ctx
}

// set says whether the target leaves.
func (h *handBack) set(leaving bool) {
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
