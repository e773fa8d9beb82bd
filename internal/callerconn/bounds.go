package callerconn

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds keeps the connections of one server within its bounds. The server's idle timeout must
// be longer than any that IdleTimeout returns.
type Bounds struct {
	// IdleTimeout returns how long a connection may stay without a request; 0: any time.
	IdleTimeout func() time.Duration
	// Descriptors is the number of descriptors for callers' connections and for those that their
	// running requests need, one each; 0: unlimited. Beyond it, connections without a request
	// are closed, the one that has been idle for longest first.
	Descriptors int

	mu     sync.Mutex
	open   int
	active int
	idle   list.List // of *conn, the one that has been idle for longest first
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	bounds *Bounds

	// The lock of the bounds guards these.
	state   http.ConnState
	waiting *list.Element // in the list of idle ones; nil: not in it
	closing bool          // its reader has been told to give up
}

// Listen returns a listener whose connections are kept within the bounds.
func (b *Bounds) Listen(listener net.Listener) net.Listener { return boundedListener{listener, b} }

type boundedListener struct {
	net.Listener
	bounds *Bounds
}

// Accept accepts a connection, and makes room for it.
func (l boundedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.bounds.makeRoom()
	return &conn{Conn: accepted, bounds: l.bounds, state: http.StateNew}, nil
}

// NetConn returns the connection itself.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline sets the time at which a read fails, which is at most the idle timeout away:
// the server waits for the next request with a read.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	if timeout := c.bounds.IdleTimeout(); timeout > 0 && !deadline.IsZero() {
		if latest := time.Now().Add(timeout); deadline.After(latest) {
			deadline = latest
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}

// RecordState is to be called by the server for each change of a connection's state.
func (b *Bounds) RecordState(changed net.Conn, state http.ConnState) {
	c, ok := changed.(*conn)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.waiting != nil {
		b.idle.Remove(c.waiting)
		c.waiting = nil
	}
	if c.state == http.StateActive {
		b.active--
	}
	c.state = state
	switch state {
	case http.StateNew:
		b.open++
	case http.StateActive:
		b.active++
		b.keep(c)
	case http.StateIdle:
		c.waiting = b.idle.PushBack(c)
	case http.StateClosed, http.StateHijacked:
		b.open--
	}
}

// keep lets a connection be read on if a request has come as it was to be closed.
func (b *Bounds) keep(c *conn) {
	if c.closing {
		c.closing = false
		c.Conn.SetReadDeadline(time.Time{}) //nolint:errcheck // a closed connection fails where it is used next
	}
}

// makeRoom tells the reader of the connection that has been idle for longest to give up, if
// there are no descriptors left for another connection and its request. The server then closes
// it, unless a request has come in the meantime.
func (b *Bounds) makeRoom() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Descriptors == 0 || b.open+b.active < b.Descriptors || b.idle.Len() == 0 {
		return
	}
	c := b.idle.Remove(b.idle.Front()).(*conn)
	c.waiting, c.closing = nil, true
	c.Conn.SetReadDeadline(time.Now()) //nolint:errcheck // a closed connection needs no room
}
