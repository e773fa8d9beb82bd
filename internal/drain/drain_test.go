package drain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// testServer answers requests that its drain takes with 200 and others with 503.
type testServer struct {
	drain   *Drain
	server  *http.Server
	address string
	running chan struct{} // gets a value for each request that is taken
	release chan struct{} // closed to let requests end
	ended   atomic.Int64  // requests that were taken and ended
}

func newTestServer(t *testing.T, plan Plan) *testServer {
	t.Helper()
	s := &testServer{drain: New(plan), running: make(chan struct{}, 100000), release: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	s.drain.Watch(s.server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = listener.Addr().String()
	go s.server.Serve(listener)            //nolint:errcheck // it ends with the server
	t.Cleanup(func() { s.server.Close() }) //nolint:errcheck // it may be closed already
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	deadline, err := time.Parse(time.RFC3339Nano, r.Header.Get("Deadline"))
	if err != nil || !s.drain.Takes(time.Now(), deadline) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running <- struct{}{}
	if s.drain.Started() {
		w.Header().Set("Connection", "close")
	}
	select {
	case <-s.release:
	case <-s.drain.Context().Done():
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	s.ended.Add(1)
}

func (s *testServer) run(ctx context.Context) chan error {
	ended := make(chan error, 1)
	go func() { ended <- s.drain.Run(ctx, s.server) }()
	return ended
}

type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (s *testServer) connect(t *testing.T) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() }) //nolint:errcheck // it may be closed already
	return &caller{conn, bufio.NewReader(conn)}
}

// ask sends a request and returns the status of its answer.
func (c *caller) ask(deadline time.Duration) (status int, closed bool, err error) {
	until := time.Now().Add(deadline).Format(time.RFC3339Nano)
	if _, err := fmt.Fprintf(c.conn, "GET / HTTP/1.1\r\nHost: h\r\nDeadline: %s\r\n\r\n", until); err != nil {
		return 0, true, err
	}
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, true, err
	}
	defer answer.Body.Close() //nolint:errcheck // read to its end below
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, answer.Close, err
}

// Requests that crossed the close of their connection were taken and had no answer.
func TestEachRequestThatIsTakenIsAnsweredWhileConnectionsClose(t *testing.T) {
	const callers = 16
	plan := Plan{Accept: 5 * time.Millisecond, Keep: 30 * time.Millisecond, Answers: time.Second, Close: 2 * time.Second}
	for range 10 {
		s := newTestServer(t, plan)
		close(s.release)
		var served, unread atomic.Int64
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				for {
					conn, err := net.Dial("tcp", s.address)
					if err != nil {
						return // the server is closed
					}
					c := &caller{conn, bufio.NewReader(conn)}
					for {
						status, closed, err := c.ask(100 * time.Millisecond)
						if err != nil {
							unread.Add(1)
						} else if status == http.StatusOK {
							served.Add(1)
						}
						if closed {
							break
						}
					}
					_ = conn.Close()
				}
			})
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if served.Load() > callers {
				return poll.Success()
			}
			return poll.Continue("waiting for requests")
		}, poll.WithDelay(time.Millisecond))
		assert.NilError(t, <-s.run(t.Context()))
		group.Wait()
		assert.Equal(t, s.ended.Load(), served.Load(), "requests that ran, and answers; %d were not read", unread.Load())
	}
}

// Connections without a request were closed while requests on their way were still refused.
func TestKeptConnectionIsAnsweredAndThenClosed(t *testing.T) {
	s := newTestServer(t, Plan{Accept: 0, Keep: 5 * time.Second, Answers: 5 * time.Second, Close: 6 * time.Second})
	close(s.release)
	kept := s.connect(t)
	status, _, err := kept.ask(time.Second)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	started := time.Now()
	ended := s.run(t.Context())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.drain.Started() {
			return poll.Success()
		}
		return poll.Continue("waiting for the drain")
	})
	status, closed, err := kept.ask(time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, closed)
	assert.NilError(t, <-ended)
	assert.Assert(t, time.Since(started) < 2*time.Second, "the drain went on without connections for %s", time.Since(started))
}

func TestRequestThatRunsAtTheEndIsAnswered(t *testing.T) {
	for name, test := range map[string]struct {
		plan   Plan
		cancel bool // the context of the drain
	}{
		"end of the plan": {Plan{Keep: 50 * time.Millisecond, Answers: 100 * time.Millisecond, Close: 5 * time.Second}, false},
		"context ends":    {Plan{Accept: time.Hour, Keep: time.Hour, Answers: time.Hour, Close: time.Hour + 5*time.Second}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, test.plan)
			c := s.connect(t)
			statuses := make(chan int, 1)
			go func() {
				status, _, err := c.ask(time.Hour)
				if err != nil {
					status = 0
				}
				statuses <- status
			}()
			<-s.running
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := s.run(ctx)
			if test.cancel {
				cancel()
			}
			assert.Equal(t, <-statuses, http.StatusGatewayTimeout)
			assert.NilError(t, <-ended)
		})
	}
}
