package link

import (
	"time"

	"github.com/hashicorp/yamux"
)

// closeWhenIdle closes a kept session that has had no stream for IdleTimeout.
// It looks twice in that time. A session is first taken out of the pool and
// closed only at a later look, so that a stream that is just being opened on it
// still finishes.
func (p *Pool) closeWhenIdle(addr string, session *yamux.Session) {
	if p.config.IdleTimeout <= 0 {
		return
	}
	ticker := time.NewTicker(p.config.IdleTimeout / looksAtIdle)
	defer ticker.Stop()
	idle := 0
	for {
		select {
		case <-session.CloseChan():
			p.forget(addr, session)
			_ = p.usedSinceLastLook(session)
			return
		case <-ticker.C:
		}
		switch {
		case p.usedSinceLastLook(session) || session.NumStreams() > 0:
			idle = 0
		case idle < looksAtIdle:
			idle++
		case p.current(addr) == session:
			p.forget(addr, session)
		default:
			_ = session.Close()
		}
	}
}

// usedSinceLastLook reports whether a stream was opened on the session since
// the last time that this was asked.
func (p *Pool) usedSinceLastLook(session *yamux.Session) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	_, used := p.used[session]
	delete(p.used, session)
	return used
}

// current returns the kept session to addr, or nil.
func (p *Pool) current(addr string) *yamux.Session {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.sessions[addr]
}
