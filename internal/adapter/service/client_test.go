package service

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/adapter/repeating"
)

// droppingServer answers the first request of each connection. At the second it
// counts the request as run and closes the connection without an answer. It counts
// runs by idempotency key.
type droppingServer struct {
	url  string
	lock sync.Mutex
	runs map[string]int
}

func newDroppingServer(t *testing.T) *droppingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &droppingServer{url: "http://" + listener.Addr().String(), runs: make(map[string]int)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *droppingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.lock.Lock()
		s.runs[request.Header.Get(KeyHeader)]++
		s.lock.Unlock()
		if !first {
			return
		}
		if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

func (s *droppingServer) runCount(key string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.runs[key]
}

func TestNonIdempotentCallIsNeverResent(t *testing.T) {
	for _, name := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
		for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodGet} {
			t.Run(method+" "+name, func(t *testing.T) {
				server := newDroppingServer(t)
				client := New(server.url)
				header := http.Header{}
				if name != "" {
					header.Set(name, "k")
				}
				for _, key := range []string{"first", "second"} {
					_, _ = client.Do(context.Background(), Call{Method: method, Path: "/", Header: header, Key: key})
				}
				assert.Equal(t, server.runCount("first"), 1)
				assert.Equal(t, server.runCount("second"), 1)
			})
		}
	}
}

func TestAnswerThatTheServiceRepeatsIsNotThatOfTheNextCall(t *testing.T) {
	server := repeating.NewServer(t, "ok")
	client := New(server.URL)
	for i, want := range []int{http.StatusServiceUnavailable, http.StatusOK, http.StatusOK} {
		answer, err := client.Do(t.Context(), Call{Method: http.MethodGet, Path: "/"})
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, want, "call %d", i)
	}
}

func TestErrNotSentOnlyWithoutConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	client := New("http://" + listener.Addr().String())
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_ = conn.Close()
		}
		_ = listener.Close()
	}()
	_, err = client.Do(context.Background(), Call{Method: http.MethodPost, Path: "/", Key: "k"})
	assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "accepted connection: %v", err)

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	_, err = New("http://"+closed.Addr().String()).Do(context.Background(), Call{Method: http.MethodPost, Path: "/", Key: "k"})
	assert.Assert(t, errors.Is(err, ErrNotSent), "no listener: %v", err)
}
