package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/internal/pause"
	"quetzalbend/internal/wire"
)

// startServer starts a server on loopback and returns its address.
func startServer(t *testing.T, handler Handler) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(Config{}, handler)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
	})
	return server, listener.Addr().String()
}

func newCall() *wire.Open {
	return &wire.Open{Purpose: &wire.Open_Call{Call: &wire.Call{RequestId: "r1"}}}
}

func TestMessagesArriveInOrderThenEOF(t *testing.T) {
	_, addr := startServer(t, func(_ context.Context, open *wire.Open, stream *Stream) {
		for i := range int64(100) {
			_ = stream.Send(&wire.AnswerFrame{RequestId: open.GetCall().GetRequestId(), Sequence: i})
		}
	})
	pool := NewPool(Config{})
	defer func() { _ = pool.Close() }()
	stream, err := pool.Open(context.Background(), addr, newCall())
	assert.NilError(t, err)
	for i := range int64(100) {
		frame := &wire.AnswerFrame{}
		assert.NilError(t, stream.Receive(frame))
		assert.Equal(t, frame.GetSequence(), i)
		assert.Equal(t, frame.GetRequestId(), "r1")
	}
	assert.Assert(t, errors.Is(stream.Receive(&wire.AnswerFrame{}), io.EOF))
}

func TestOpenToClosedPortIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = NewPool(Config{}).Open(context.Background(), addr, newCall())
	assert.Assert(t, IsNotSent(err), "%v", err)
	assert.ErrorContains(t, err, addr)
}

// The kernel still accepts connections of a stopped process, but nothing answers
// on them.
func TestOpenToStoppedProcessIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	pool := NewPool(Config{DialTimeout: 50 * time.Millisecond})
	_, err = pool.Open(context.Background(), listener.Addr().String(), newCall())
	assert.Assert(t, IsNotSent(err), "%v", err)
}

func TestShutdownFinishesRunningStreamsAndAcceptsNoNewOnes(t *testing.T) {
	release := make(chan struct{})
	server, addr := startServer(t, func(_ context.Context, _ *wire.Open, stream *Stream) {
		_ = stream.Send(&wire.AnswerFrame{Sequence: 0})
		<-release
		_ = stream.Send(&wire.AnswerFrame{Sequence: 1})
	})
	pool := NewPool(Config{})
	defer func() { _ = pool.Close() }()
	stream, err := pool.Open(context.Background(), addr, newCall())
	assert.NilError(t, err)
	frame := &wire.AnswerFrame{}
	assert.NilError(t, stream.Receive(frame))

	stopped := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() { stopped <- server.Shutdown(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.isShuttingDown() {
			return poll.Success()
		}
		return poll.Continue("still accepting")
	}, poll.WithDelay(time.Millisecond))
	_, err = net.DialTimeout("tcp", addr, time.Second)
	assert.Assert(t, err != nil)
	close(release)
	assert.NilError(t, stream.Receive(frame))
	assert.Equal(t, frame.GetSequence(), int64(1))
	assert.NilError(t, <-stopped)
}

// slowListener accepts connections whose writes take long.
type slowListener struct {
	net.Listener
	slow    *atomic.Bool
	written *atomic.Int64 // bytes that were written slowly
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowConn{conn, l}, err
}

type slowConn struct {
	net.Conn
	listener slowListener
}

func (c *slowConn) Write(data []byte) (int, error) {
	if !c.listener.slow.Load() {
		return c.Conn.Write(data)
	}
	pause.For(context.Background(), closeWriteTimeout/4)
	n, err := c.Conn.Write(data)
	c.listener.written.Add(int64(n))
	return n, err
}

// The process ended after Shutdown while the last answers were still to be written.
func TestAnswersAreWrittenWhenShutdownReturns(t *testing.T) {
	const size = 10 << 10 // bytes of the last answer
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := slowListener{tcp, &atomic.Bool{}, &atomic.Int64{}}
	release := make(chan struct{})
	server := NewServer(Config{}, func(_ context.Context, _ *wire.Open, stream *Stream) {
		_ = stream.Send(&wire.AnswerFrame{})
		<-release
		_ = stream.Send(&wire.AnswerFrame{Body: &wire.AnswerFrame_Chunk{Chunk: &wire.Chunk{Data: make([]byte, size)}}})
	})
	go func() { _ = server.Serve(listener) }()
	pool := NewPool(Config{})
	defer func() { _ = pool.Close() }()
	stream, err := pool.Open(context.Background(), tcp.Addr().String(), newCall())
	assert.NilError(t, err)
	assert.NilError(t, stream.Receive(&wire.AnswerFrame{}))
	listener.slow.Store(true)
	close(release)
	assert.NilError(t, server.Shutdown(t.Context()))
	assert.Assert(t, listener.written.Load() > size, "%d bytes were written", listener.written.Load())
	frame := &wire.AnswerFrame{}
	assert.NilError(t, stream.Receive(frame))
	assert.Equal(t, len(frame.GetChunk().GetData()), size)
}

// A peer that stops answering is noticed when a stream is opened to it, long
// before the next probe of its session.
func TestSessionOfSilentPeerClosesSoonAfterStreamIsOpened(t *testing.T) {
	proxy := newStallingProxy(t)
	pool := NewPool(Config{WriteTimeout: 200 * time.Millisecond, KeepAliveInterval: time.Hour})
	defer func() { _ = pool.Close() }()
	stream, err := pool.Open(context.Background(), proxy.addr, newCall())
	assert.NilError(t, err)
	assert.Assert(t, errors.Is(stream.Receive(&wire.AnswerFrame{}), io.EOF))
	assert.Assert(t, pool.session(proxy.addr) != nil)
	proxy.stalled.Store(true)
	_, err = pool.Open(context.Background(), proxy.addr, newCall())
	assert.NilError(t, err)
	waitForNoSession(t, pool, proxy.addr)
}

func waitForNoSession(t *testing.T, pool *Pool, addr string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if pool.session(addr) == nil {
			return poll.Success()
		}
		return poll.Continue("the session is still open")
	}, poll.WithDelay(time.Millisecond))
}

// stallingProxy forwards bytes between a client and a server until stalled is set.
// Then it drops them, without closing a connection.
type stallingProxy struct {
	addr    string
	stalled atomic.Bool
}

func newStallingProxy(t *testing.T) *stallingProxy {
	t.Helper()
	_, server := startServer(t, func(context.Context, *wire.Open, *Stream) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	proxy := &stallingProxy{addr: listener.Addr().String()}
	go func() {
		clientConn, err := listener.Accept()
		if err != nil {
			return
		}
		serverConn, err := net.Dial("tcp", server)
		if err != nil {
			return
		}
		t.Cleanup(func() { _, _ = clientConn.Close(), serverConn.Close() })
		go proxy.forward(clientConn, serverConn)
		proxy.forward(serverConn, clientConn)
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return proxy
}

func (p *stallingProxy) forward(to io.Writer, from io.Reader) {
	buffer := make([]byte, readBufferSize)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if !p.stalled.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

func TestDataWrittenBeforeCloseArrivesInOrder(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	conn := coalesce(dialled, time.Second)
	var want []byte
	for i := range 1000 {
		piece := []byte{byte(i), byte(i >> 8)}
		want = append(want, piece...)
		_, err := conn.Write(piece)
		assert.NilError(t, err)
	}
	assert.NilError(t, conn.Close())
	got, err := io.ReadAll(accepted)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	_, err = conn.Write([]byte{0})
	assert.ErrorIs(t, err, net.ErrClosed)
}

func TestWritesToPeerThatDoesNotReadTimeOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	conn := coalesce(dialled, 50*time.Millisecond)
	piece := make([]byte, maxPendingBytes)
	for err == nil {
		_, err = conn.Write(piece)
	}
	assert.ErrorContains(t, err, "timeout")
}

func TestIdleSessionIsClosedAndDialledAgain(t *testing.T) {
	release := make(chan struct{})
	server, addr := startServer(t, func(_ context.Context, _ *wire.Open, stream *Stream) {
		<-release
		_ = stream.Send(&wire.AnswerFrame{Sequence: 1})
	})
	const idle = 20 * time.Millisecond
	pool := NewPool(Config{IdleTimeout: idle})
	defer func() { _ = pool.Close() }()
	stream, err := pool.Open(context.Background(), addr, newCall())
	assert.NilError(t, err)
	session := pool.pooledSession(addr)
	select {
	case <-session.CloseChan():
		t.Fatal("the session was closed while a stream was running")
	case <-time.After(5 * idle):
	}
	close(release)
	assert.NilError(t, stream.Receive(&wire.AnswerFrame{}))
	assert.NilError(t, stream.Close())
	<-session.CloseChan()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		server.lock.Lock()
		defer server.lock.Unlock()
		if len(server.sessions) == 0 {
			return poll.Success()
		}
		return poll.Continue("the server still holds the session")
	}, poll.WithDelay(time.Millisecond))
	stream, err = pool.Open(context.Background(), addr, newCall())
	assert.NilError(t, err)
	assert.NilError(t, stream.Receive(&wire.AnswerFrame{}))
}

// A stream may be opened on a session that was taken from the pool just before it
// was found idle and removed. Such a session is closed only after the stream ends.
func TestSessionRemovedAsIdleStillServesStream(t *testing.T) {
	release := make(chan struct{})
	_, addr := startServer(t, func(context.Context, *wire.Open, *Stream) { <-release })
	pool := NewPool(Config{IdleTimeout: 800 * time.Millisecond})
	defer func() { _ = pool.Close() }()
	session, err := pool.connect(context.Background(), addr)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if pool.pooledSession(addr) == nil {
			return poll.Success()
		}
		return poll.Continue("the session is still in the pool")
	}, poll.WithDelay(time.Millisecond))
	conn, err := session.OpenStream()
	assert.NilError(t, err)
	assert.NilError(t, newStream(conn, addr, time.Second).Send(newCall()))
	select {
	case <-session.CloseChan():
		t.Fatal("the session was closed while a stream was running")
	case <-time.After(2 * time.Second):
	}
	close(release)
	assert.NilError(t, conn.Close())
	<-session.CloseChan()
}
