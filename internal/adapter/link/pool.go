package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"quetzalbend/internal/wire"
)

// Pool keeps one session for each peer address and redials it when needed.
type Pool struct {
	config Config

	lock   sync.Mutex
	peers  map[string]*peer
	closed bool
}

// peer is the session to one address; its lock is held while dialling, so that
// callers of other peers go on.
type peer struct {
	lock    sync.Mutex
	session *yamux.Session
}

// NewPool returns a pool without sessions.
func NewPool(config Config) *Pool {
	return &Pool{config: config.withDefaults(), peers: make(map[string]*peer)}
}

// Open starts a stream to the peer at addr with the given first message. See
// IsNotSent for what an error says.
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
	p.closed = true
	peers := p.peers
	p.peers = nil
	p.lock.Unlock()
	for _, peer := range peers {
		peer.lock.Lock()
		if peer.session != nil {
			_ = peer.session.Close()
		}
		peer.lock.Unlock()
	}
	return nil
}

func (p *Pool) openStream(ctx context.Context, addr string) (*yamux.Stream, error) {
	peer, err := p.peer(addr)
	if err != nil {
		return nil, err
	}
	peer.lock.Lock()
	defer peer.lock.Unlock()
	if peer.session != nil && !peer.session.IsClosed() {
		conn, err := peer.session.OpenStream()
		if err == nil {
			return conn, nil
		}
		// The peer goes away or the session is dead: running streams keep the
		// old session, new ones get another.
	}
	session, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	peer.session = session
	return session.OpenStream()
}

func (p *Pool) peer(addr string) (*peer, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.closed {
		return nil, net.ErrClosed
	}
	known, ok := p.peers[addr]
	if !ok {
		known = &peer{}
		p.peers[addr] = known
	}
	return known, nil
}

func (p *Pool) dial(ctx context.Context, addr string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
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
	session, err := yamux.Client(conn, p.config.session())
	if err != nil {
		_ = conn.Close()
		return nil, err
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
