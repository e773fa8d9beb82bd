// Package rawanswer has a server for tests that answers each request with given bytes, such
// as an answer that is cut anywhere, and then ends the connection.
package rawanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Answer is what the server sends for a request.
type Answer struct {
	Bytes string
	Reset bool            // the connection is reset after the bytes, not closed in order
	Hold  <-chan struct{} // if set, the connection stays open until it is closed
}

// Server answers requests with the bytes that a function returns.
type Server struct {
	Address  string
	answer   func(*http.Request) Answer
	early    bool // answers requests before it reads their bodies
	requests atomic.Int64
}

// NewServer starts a server that runs until the end of the test.
func NewServer(t *testing.T, answer func(*http.Request) Answer) *Server {
	t.Helper()
	return start(t, &Server{answer: answer})
}

// NewEarlyServer is like NewServer, but the server answers as soon as it has the head of a
// request, and reads no body.
func NewEarlyServer(t *testing.T, answer func(*http.Request) Answer) *Server {
	t.Helper()
	return start(t, &Server{answer: answer, early: true})
}

func start(t *testing.T, s *Server) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() }) //nolint:errcheck // ends the loop below
	s.Address = listener.Addr().String()
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

// Requests returns the number of requests that were answered.
func (s *Server) Requests() int { return int(s.requests.Load()) }

func (s *Server) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the peer sees the end either way
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if !s.early {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
	s.requests.Add(1)
	answer := s.answer(request)
	if _, err := io.WriteString(conn, answer.Bytes); err != nil {
		return
	}
	if answer.Hold != nil {
		<-answer.Hold
	}
	if tcp, ok := conn.(*net.TCPConn); ok && answer.Reset {
		tcp.SetLinger(0) //nolint:errcheck // the connection is closed either way
	}
}
