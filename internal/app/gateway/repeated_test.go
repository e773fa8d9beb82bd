package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// repeatingTarget is a target that rejects its first request and then writes that
// rejection once more before each answer: on the same connection, or on all.
type repeatingTarget struct {
	t        *testing.T
	address  string
	everyone bool   // also on connections that did not get the rejection
	idOf     string // header line of the repeated rejection with an id; empty: it has none

	mu       sync.Mutex
	rejected bool
	ran      map[string]int // by request id
}

func newRepeatingTarget(t *testing.T) *repeatingTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() }) //nolint:errcheck // ends the accept loop
	r := &repeatingTarget{t: t, address: listener.Addr().String(), ran: make(map[string]int)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

const rejectionText = "HTTP/1.1 503 Service Unavailable\r\n%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

func (r *repeatingTarget) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the test's end closes it, too
	reader, repeats := bufio.NewReader(conn), false
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Attempt-Id")
		idLine := "Attempt-Id: " + id + "\r\n"
		r.mu.Lock()
		reject := !r.rejected
		r.rejected = true
		if !reject {
			r.ran[id]++
		}
		everyone, idOf := r.everyone, r.idOf
		r.mu.Unlock()
		if reject {
			repeats = true
			if _, err := fmt.Fprintf(conn, rejectionText, idLine); err != nil {
				return
			}
			continue
		}
		answer := "HTTP/1.1 200 OK\r\n" + idLine + "Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
		if repeats || everyone {
			answer = fmt.Sprintf(rejectionText, idOf) + answer
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func (r *repeatingTarget) runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

func (r *repeatingTarget) record() object {
	return object{
		"service": "app", "address": r.address, "zone": "d1", "version": "v1", "slots": 6,
		"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1,
	}
}

func startRepeating(t *testing.T) (*testbed, *repeatingTarget) {
	target := newRepeatingTarget(t)
	b := newTestbed(t)
	b.store.PutJSON(t, "keyed.servers", "i-1", target.record())
	b.wait("the target is known", func() bool { return len(b.gateway.state.View().Targets["app"]) == 1 })
	return b, target
}

func TestRejectionRepeatedOnAKeptConnectionIsNotTheNextAnswer(t *testing.T) {
	b, target := startRepeating(t)
	assert.Equal(t, b.post("/once/", "x").status, http.StatusServiceUnavailable)
	for range 5 {
		request := b.request(t.Context(), http.MethodPost, "/once/", "x")
		assert.Equal(t, b.do(request).status, http.StatusOK)
		assert.Equal(t, target.runs(request.Header.Get("Attempt-Id")), 1)
	}
}

func TestRejectionOfAnotherRequestPromisesNothing(t *testing.T) {
	for name, idLine := range map[string]string{"without id": "", "with another id": "Attempt-Id: other\r\n"} {
		t.Run(name, func(t *testing.T) {
			b, target := startRepeating(t)
			target.everyone, target.idOf, target.rejected = true, idLine, true
			request := b.request(t.Context(), http.MethodPost, "/once-twice/", "x")
			assert.Equal(t, b.do(request).status, http.StatusBadGateway, "the request may have run")
			assert.Equal(t, target.runs(request.Header.Get("Attempt-Id")), 1)
		})
	}
}
