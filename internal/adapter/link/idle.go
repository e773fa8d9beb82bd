package link

import (
	"time"

	"github.com/hashicorp/yamux"
)

// closeWhenIdle closes a session of the pool that has had no stream for
// IdleTimeout. It checks the session idleChecksPerTimeout times in that time. An
// idle session is first removed from the pool and closed only at a later check, so
// that a stream that is just being opened on it still finishes.
func (p *Pool) closeWhenIdle(addr string, session *yamux.Session) {
	if p.config.IdleTimeout <= 0 {
		return
	}
	ticker := time.NewTicker(p.config.IdleTimeout / idleChecksPerTimeout)
	defer ticker.Stop()
	idle := 0
	for {
		select {
		case <-session.CloseChan():
			p.removeSession(addr, session)
			_ = p.usedSinceLastCheck(session)
			return
		case <-ticker.C:
		}
		switch {
		case p.usedSinceLastCheck(session) || session.NumStreams() > 0:
			idle = 0
		case idle < idleChecksPerTimeout:
			idle++
		case p.pooledSession(addr) == session:
			p.removeSession(addr, session)
		default:
			_ = session.Close()
		}
	}
}

// usedSinceLastCheck reports whether a stream was opened on the session since
// the previous call for that session.
func (p *Pool) usedSinceLastCheck(session *yamux.Session) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	_, used := p.used[session]
	delete(p.used, session)
	return used
}

// pooledSession returns the pool's session to addr, or nil. Unlike session it does
// not count as a use.
func (p *Pool) pooledSession(addr string) *yamux.Session {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.sessions[addr]
}
