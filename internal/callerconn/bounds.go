package callerconn

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"quetzalbend/internal/core/memory"
)

// Limits are what one client may send, and how long it may take. Zero fields get the defaults.
type Limits struct {
	HeaderBytes   int           // of the head of a request
	HeaderTimeout time.Duration // from the first byte of a head to its last
	// IdleTimeout is how long a connection may stay without a request, without a byte of a
	// body, or without taking any of an answer.
	IdleTimeout time.Duration
}

// Defaults of Limits.
const (
	DefaultHeaderBytes   = 64 << 10
	DefaultHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout   = 2 * time.Minute
)

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// Bounds keeps the connections of one server within its bounds.
type Bounds struct {
	// Limits returns the limits in force; nil: the defaults. Connections that are open go by
	// them from their next head, pause or piece of an answer on.
	Limits func() Limits
	// Descriptors is the number of descriptors for callers' connections and for those that
	// their running requests use; 0: unlimited.
	Descriptors int
	// Memory is for heads; nil: unlimited.
	Memory *memory.Budget
	// RetryAfter is when a caller may come back whose head finds no memory.
	RetryAfter time.Duration
	// Ended is called for each connection that is refused or closed since its client keeps to
	// no limit, or to make room; nil: nothing is called.
	Ended func(reason Reason, peer string)

	mu      sync.Mutex
	open    int            // connections
	used    int            // descriptors that running requests use, see Take
	closing int            // connections that have been told to end
	waiting list.List      // of *conn without a request, the one that has been so for longest first
	inHead  list.List      // of *conn with a part of a head, the oldest first
	running map[*conn]bool // with a request
}

// Reason is why a connection was refused or closed.
type Reason string

// Reasons.
const (
	HeadTooLarge    Reason = "head_too_large"
	HeadTooSlow     Reason = "head_too_slow"
	NoMemoryForHead Reason = "no_memory_for_head"
	AnswerNotTaken  Reason = "answer_not_taken"
	MadeRoom        Reason = "made_room"
	NoRoom          Reason = "no_room"
)

// Timeouts that net/http is given. They are longer than any that Bounds sets.
const (
	serverHeaderTimeout = 365 * 24 * time.Hour
	serverIdleTimeout   = serverHeaderTimeout
	serverHeaderBytes   = 16 << 20
)

// Guard makes a server keep its connections within the bounds, and returns the listener on
// which it is to serve HTTP/1. It is called once, after the server's ConnState has been set.
func (b *Bounds) Guard(server *http.Server, listener net.Listener) net.Listener {
	b.running = make(map[*conn]bool)
	server.ReadHeaderTimeout = serverHeaderTimeout
	server.IdleTimeout = serverIdleTimeout
	server.MaxHeaderBytes = serverHeaderBytes
	server.Handler = countHeads(b.Memory, b.RetryAfter, b.Ended, server.Handler)
	also := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		b.recordState(conn, state)
		if also != nil {
			also(conn, state)
		}
	}
	return boundedListener{listener, b}
}

func (b *Bounds) limits() Limits {
	if b.Limits == nil {
		return Limits{}.withDefaults()
	}
	return b.Limits().withDefaults()
}

func (b *Bounds) ended(reason Reason, c net.Conn) {
	if b.Ended != nil {
		b.Ended(reason, c.RemoteAddr().String())
	}
}

type boundedListener struct {
	net.Listener
	bounds *Bounds
}

// Accept accepts a connection, and makes room for it. If there is none, it closes the
// connection at once, before anything of it is read, and accepts another.
func (l boundedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.bounds.makeRoom(0) {
			return newConn(accepted, l.bounds), nil
		}
		l.bounds.ended(NoRoom, accepted)
		accepted.Close() //nolint:errcheck // an error would end the server
	}
}

// Take takes a descriptor for the connection that a running request needs, and reports
// whether there is one. Give gives it back.
func (b *Bounds) Take() bool { return b.makeRoom(1) }

// Give gives a descriptor back.
func (b *Bounds) Give() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used--
}

func (b *Bounds) recordState(changed net.Conn, state http.ConnState) {
	c, ok := changed.(*conn)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leave(c)
	switch state {
	case http.StateNew:
		b.open++
		c.awaitRequest()
		c.enter(&b.waiting)
	case http.StateIdle:
		c.awaitRequest()
		c.enter(&b.waiting)
	case http.StateActive:
		b.keep(c)
		b.running[c] = true
		if err := c.beginRequest(); err != nil {
			b.leave(c) // it is closed already
		}
	case http.StateClosed, http.StateHijacked:
		b.open--
		if c.closing.Load() {
			b.closing--
		}
		c.releaseHead()
	}
}

// beginHead moves a connection on which the first bytes of a head have come.
func (b *Bounds) beginHead(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.headBegan = time.Now()
	if !c.closing.Load() {
		b.leave(c)
		c.enter(&b.inHead)
	}
}

// leave takes a connection out of the lists.
func (b *Bounds) leave(c *conn) {
	if c.list != nil {
		c.list.Remove(c.place)
		c.list, c.place = nil, nil
	}
	delete(b.running, c)
}

// keep lets a connection be read on whose request has come as it was to be closed.
func (b *Bounds) keep(c *conn) {
	if c.closing.Load() {
		b.closing--
		c.closing.Store(false)
	}
}
