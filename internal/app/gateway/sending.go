package gateway

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/registry"
)

// sending tracks one request from the choice of its target until it has been sent: how
// long that takes depends on the processor and on the target's queue of connections.
type sending struct {
	target    registry.Usable
	loads     *loads
	usable    func(now time.Time) bool // whether its lent admission may be used; nil: it counts in this gateway's share
	connected atomic.Bool
	written   atomic.Bool  // net/http has handed on all of the request; some of it may be in its buffer
	writes    atomic.Int64 // on the connection
	headWrite int64        // writes when the head was handed on
	expired   atomic.Bool  // a lent admission could no longer be used, so nothing was sent
	settled   sync.Once
}

// newSending returns the sending of a request that loads.choose has admitted.
func (g *Gateway) newSending(target registry.Usable) *sending {
	return &sending{target: target, loads: g.loads}
}

// newBorrowedSending returns the sending of a request by an admission that another gateway
// has lent until a time.
func (g *Gateway) newBorrowedSending(target registry.Usable, until time.Time) *sending {
	usable := func(now time.Time) bool { return now.Before(until) && !g.suspension.recent(now) }
	return &sending{target: target, loads: g.loads, usable: usable}
}

// sendingKey is the key of the sending in the context of a request to a target.
type sendingKey struct{}

// trace returns a context for the request to the target that tells the sending how far the
// request is.
func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(context.WithValue(ctx, sendingKey{}, s), &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { s.connected.Store(true) },
		WroteHeaders: func() { s.headWrite = s.writes.Load() },
		WroteRequest: func(httptrace.WroteRequestInfo) { s.recordHandedOn() },
	})
}

// recordHandedOn records that net/http has handed on the request. A small request is still
// in its buffer then. If a body has filled the buffer, net/http has written the rest of it
// past the buffer.
func (s *sending) recordHandedOn() {
	s.written.Store(true)
	if s.writes.Load() > s.headWrite {
		s.settle(true)
	}
}

// recordWrite records that a write on the connection has ended.
func (s *sending) recordWrite() {
	s.writes.Add(1)
	if s.written.Load() {
		s.settle(true)
	}
}

// end must be called once the request will not be sent any more.
func (s *sending) end() { s.settle(s.connected.Load()) }

// settle records whether the request was sent.
func (s *sending) settle(sent bool) {
	s.settled.Do(func() {
		if s.usable == nil {
			s.loads.settle(s.target.ID, sent, time.Now())
		}
	})
}

// settle ends the admission of a request that choose has counted.
func (l *loads) settle(id string, sent bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.target(id, now)
	if sent {
		t.admissions.RecordAdmittedSent(now)
		return
	}
	t.admissions.Cancel()
}

var errAdmissionExpired = errors.New("the lent admission has expired")

// targetConn is a connection that tells the sending of its writes, and on which nothing may
// be sent once a lent admission has expired.
type targetConn struct {
	net.Conn
	sending *sending
	started bool
}

func (c *targetConn) Write(data []byte) (int, error) {
	if !c.started && c.sending.usable != nil && !c.sending.usable(time.Now()) {
		c.sending.expired.Store(true)
		return 0, errAdmissionExpired
	}
	c.started = true
	defer c.sending.recordWrite()
	return c.Conn.Write(data)
}

// dialTarget returns the dial function for requests to targets. It ties each connection to
// the sending of its request.
func dialTarget(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		sent, _ := ctx.Value(sendingKey{}).(*sending)
		if err != nil || sent == nil {
			return conn, err
		}
		return &targetConn{Conn: conn, sending: sent}, nil
	}
}
