package link

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"quetzalbend/internal/wire"
)

// Handler serves one stream, whose first message was open. The stream is
// closed when the handler returns. The context ends with the session.
type Handler func(ctx context.Context, open *wire.Open, stream *Stream)

// Server accepts sessions and serves their streams.
type Server struct {
	config  Config
	handler Handler

	lock         sync.Mutex
	listener     net.Listener
	sessions     map[*yamux.Session]*coalescer // with their connections
	shuttingDown bool
	streams      sync.WaitGroup
}

// NewServer returns a server that serves each stream with handler.
func NewServer(config Config, handler Handler) *Server {
	return &Server{
		config:   config.withDefaults(),
		handler:  handler,
		sessions: make(map[*yamux.Session]*coalescer),
	}
}

// Serve accepts sessions until Shutdown, then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if s.config.TLS != nil {
		listener = tls.NewListener(listener, s.config.TLS)
	}
	s.lock.Lock()
	s.listener = listener
	shuttingDown := s.shuttingDown
	s.lock.Unlock()
	if shuttingDown {
		return listener.Close()
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.isShuttingDown() {
				return nil
			}
			return errors.Wrapf(err, "accept on %s", listener.Addr())
		}
		go s.serveSession(conn)
	}
}

// Shutdown stops accepting sessions and streams, waits until the running streams
// have ended or ctx ends, and then closes all sessions. What was sent on them is
// written when it returns, if their peers read.
func (s *Server) Shutdown(ctx context.Context) error {
	sessions := s.startShutdown()
	done := make(chan struct{})
	go func() {
		s.streams.Wait()
		close(done)
	}()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "wait for running streams")
	}
	for session := range sessions {
		_ = session.Close()
	}
	for _, conn := range sessions {
		<-conn.flushed
	}
	return err
}

// startShutdown closes the listener, tells the peers to open no more streams and
// returns the sessions.
func (s *Server) startShutdown() map[*yamux.Session]*coalescer {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.shuttingDown = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for session := range s.sessions {
		_ = session.GoAway()
	}
	return maps.Clone(s.sessions)
}

func (s *Server) isShuttingDown() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.shuttingDown
}

func (s *Server) serveSession(conn net.Conn) {
	written := coalesce(conn, s.config.WriteTimeout)
	session, err := yamux.Server(written, s.config.session())
	if err != nil {
		_ = conn.Close()
		return
	}
	if !s.addSession(session, written) {
		_ = session.Close()
		return
	}
	defer s.removeSession(session)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-session.CloseChan()
		cancel()
	}()
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			return
		}
		if !s.startStream() {
			_ = conn.Close()
			continue
		}
		go s.serveStream(ctx, conn, session.RemoteAddr().String())
	}
}

func (s *Server) serveStream(ctx context.Context, conn *yamux.Stream, peer string) {
	defer s.streams.Done()
	stream := newStream(conn, peer, s.config.WriteTimeout)
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(openTimeout))
	open := &wire.Open{}
	if err := stream.Receive(open); err != nil {
		return
	}
	_ = stream.SetDeadline(time.Time{})
	s.handler(ctx, open, stream)
}

// startStream adds a stream to the running ones. It returns false if the server is
// shutting down.
func (s *Server) startStream() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.shuttingDown {
		return false
	}
	s.streams.Add(1)
	return true
}

// addSession returns false if the server is shutting down.
func (s *Server) addSession(session *yamux.Session, conn *coalescer) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.shuttingDown {
		return false
	}
	s.sessions[session] = conn
	return true
}

func (s *Server) removeSession(session *yamux.Session) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.sessions, session)
}
