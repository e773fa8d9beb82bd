package callerhttp

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync"

	"quetzalbend/internal/adapter/unframed"
	"quetzalbend/internal/drain"
)

// NewServer returns the HTTP server for callers. It speaks HTTP/1.1 and HTTP/2,
// the latter also without TLS.
func NewServer(cfg Config) *http.Server {
	cfg.Bounds = cfg.Bounds.withDefaults()
	if cfg.Drain == nil {
		cfg.Drain = drain.New(drain.Plan{})
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           newHandler(cfg),
		Protocols:         protocols,
		MaxHeaderBytes:    cfg.Bounds.HeaderBytes,
		ReadHeaderTimeout: cfg.Bounds.HeaderTimeout,
		IdleTimeout:       cfg.Bounds.IdleTimeout,
		ConnContext:       unframed.WithConnection,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	cfg.Drain.Watch(server)
	return server
}

// LimitListener returns a listener with at most limit open connections; further
// ones wait to be accepted. A limit of 0 means DefaultConnections.
func LimitListener(inner net.Listener, limit int) net.Listener {
	if limit == 0 {
		limit = DefaultConnections
	}
	return &limitListener{Listener: inner, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

type limitListener struct {
	net.Listener
	slots     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept waits for a free slot and then for a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close closes the inner listener and ends a waiting Accept.
func (l *limitListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// NetConn returns the connection that takes the slot.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Close frees the connection's slot.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
