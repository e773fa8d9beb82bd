// Package repeating has a server for tests whose kept connections go wrong: it writes its
// first answer on a connection once more before each later one.
package repeating

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
)

// Server answers the first request with status 503 and all later ones with Body.
type Server struct {
	URL  string
	Body string

	mu       sync.Mutex
	requests int
}

// NewServer starts a server that runs until the end of the test.
func NewServer(t *testing.T, body string) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() }) //nolint:errcheck // ends the loop below
	s := &Server{URL: "http://" + listener.Addr().String(), Body: body}
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

func (s *Server) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the peer sees the end either way
	reader, earlier := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer := s.next()
		if _, err := io.WriteString(conn, earlier+answer); err != nil {
			return
		}
		earlier = answer
	}
}

func (s *Server) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if s.requests == 1 {
		return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	}
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(s.Body)) + "\r\n\r\n" + s.Body
}
