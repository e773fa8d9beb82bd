package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"quetzalbend/internal/wire"
)

// Pool keeps one session to each peer address and dials again when it needs to.
type Pool struct {
	config Config
	dials  singleflight.Group // by address; concurrent callers of one peer share a dial

	lock     sync.Mutex
	sessions map[string]*yamux.Session   // by address
	used     map[*yamux.Session]struct{} // since the last check by closeWhenIdle
	closed   bool
}

// NewPool returns a pool without sessions.
func NewPool(config Config) *Pool {
	return &Pool{
		config:   config.withDefaults(),
		sessions: make(map[string]*yamux.Session),
		used:     make(map[*yamux.Session]struct{}),
	}
}

// Open starts a stream to the peer at addr with the given first message. After an
// error for which IsNotSent is false the peer may have received the message.
func (p *Pool) Open(ctx context.Context, addr string, open *wire.Open) (*Stream, error) {
	conn, err := p.openStream(ctx, addr)
	if err != nil {
		return nil, &notSentError{cause: errors.Wrapf(err, "open stream to %s", addr)}
	}
	stream := newStream(conn, addr, p.config.WriteTimeout)
	if err := stream.Send(open); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return stream, nil
}

// Close ends all sessions and their streams.
func (p *Pool) Close() error {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.closed = true
	for _, session := range p.sessions {
		_ = session.Close()
	}
	clear(p.sessions)
	return nil
}

func (p *Pool) openStream(ctx context.Context, addr string) (*yamux.Stream, error) {
	if session := p.session(addr); session != nil {
		conn, err := session.OpenStream()
		if err == nil {
			return conn, nil
		}
		// The peer is shutting down or the session is dead. Running streams keep
		// the old session; new ones get another.
		p.removeSession(addr, session)
	}
	session, err := p.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	return session.OpenStream()
}

// session returns the open session to addr, or nil, and marks it as used.
func (p *Pool) session(addr string) *yamux.Session {
	p.lock.Lock()
	defer p.lock.Unlock()
	session := p.sessions[addr]
	if session == nil || session.IsClosed() {
		return nil
	}
	p.markUsed(session)
	return session
}

// markUsed records that a stream is opened on a session. The caller holds the lock.
func (p *Pool) markUsed(session *yamux.Session) {
	if p.config.IdleTimeout > 0 {
		p.used[session] = struct{}{}
	}
}

// removeSession removes a session from the pool without closing it, unless another
// has replaced it.
func (p *Pool) removeSession(addr string, session *yamux.Session) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.sessions[addr] == session {
		delete(p.sessions, addr)
	}
}

// connect dials addr, or waits for a dial that is already running. It returns
// early when ctx ends.
func (p *Pool) connect(ctx context.Context, addr string) (*yamux.Session, error) {
	dialled := p.dials.DoChan(addr, func() (any, error) {
		if session := p.session(addr); session != nil {
			return session, nil
		}
		session, err := p.dial(addr)
		if err != nil {
			return nil, err
		}
		return session, p.addSession(addr, session)
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case result := <-dialled:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*yamux.Session), nil
	}
}

// addSession adds a session to the pool and has it closed when idle. It closes the
// session at once if the pool is closed.
func (p *Pool) addSession(addr string, session *yamux.Session) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.closed {
		_ = session.Close()
		return net.ErrClosed
	}
	p.sessions[addr] = session
	p.markUsed(session)
	go p.closeWhenIdle(addr, session)
	return nil
}

// dial connects to addr and pings the peer. The ping matters since the kernel
// accepts connections even of a stopped process, to which a call must not count as
// sent.
func (p *Pool) dial(addr string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.config.DialTimeout)
	defer cancel()
	dialer := net.Dialer{}
	if p.config.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.config.LocalIP}
	}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if p.config.TLS != nil {
		conn, err = p.handshake(ctx, conn, addr)
		if err != nil {
			return nil, err
		}
	}
	session, err := yamux.Client(coalesce(conn, p.config.WriteTimeout), p.config.session())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	if _, err := session.Ping(); err != nil {
		_ = session.Close()
		return nil, errors.Wrap(err, "ping")
	}
	return session, nil
}

func (p *Pool) handshake(ctx context.Context, conn net.Conn, addr string) (net.Conn, error) {
	config := p.config.TLS.Clone()
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		config.ServerName = host
	}
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "TLS handshake")
	}
	return secure, nil
}
