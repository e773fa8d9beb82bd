package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/adapter/rawanswer"
	"quetzalbend/internal/adapter/unframed"
	"quetzalbend/platform/platformtest"
)

// rawReply is what a caller received, byte for byte.
type rawReply struct {
	head, body string
	err        error // of the connection, nil if it was closed in order
}

func rawCallersRequest(version, path string) string {
	return fmt.Sprintf("POST %s %s\r\nHost: %s\r\nCredential: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Length: 3\r\n\r\npay",
		path, version, testHost, testKey, nextRequestID())
}

// rawRequest sends a request and reads until the connection ends.
func (b *testbed) rawRequest(version, path string) rawReply {
	b.t.Helper()
	conn, err := net.Dial("tcp", b.gateway.node.CallerAddress)
	assert.NilError(b.t, err)
	defer conn.Close() //nolint:errcheck // read to its end below
	assert.NilError(b.t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, rawCallersRequest(version, path))
	assert.NilError(b.t, err)
	data, err := io.ReadAll(bufio.NewReader(conn))
	head, body, _ := strings.Cut(string(data), "\r\n\r\n")
	return rawReply{head, body, err}
}

// assertUnframed checks that an answer ends with its connection and in no other way.
func assertUnframed(t *testing.T, got rawReply) {
	t.Helper()
	head := strings.ToLower(got.head)
	assert.Assert(t, !strings.Contains(head, "content-length") && !strings.Contains(head, "transfer-encoding"), got.head)
	assert.Assert(t, strings.HasPrefix(head, "http/1.0 ") || strings.Contains(head, "connection: close"), got.head)
}

// An answer without length and chunks may be cut: its caller must know no less than the
// gateway.
func TestAnswerThatEndsWithItsConnectionDoesSoForItsCaller(t *testing.T) {
	bodies := map[string]string{"empty": "", "short": "half", "long": strings.Repeat("long body ", 100_000)}
	for _, statusLine := range []string{statusOK, statusOld, "HTTP/1.1 404 Not Found", "HTTP/1.1 500 Internal Server Error"} {
		for name, body := range bodies {
			t.Run(statusLine+" "+name, func(t *testing.T) {
				b, server := newRawTestbed(t, 2, func(r *http.Request) rawanswer.Answer {
					return rawanswer.Answer{Bytes: rawHead(r, statusLine, callType) + body}
				})
				for i, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
					got := b.rawRequest(version, numbered("/once-twice/"))
					assert.NilError(t, got.err)
					assert.Equal(t, strings.Fields(got.head)[1], strings.Fields(statusLine)[1])
					assert.Assert(t, strings.Contains(got.head, "Server-Stamp: 3e1b.07.5a2"), got.head)
					assert.Assert(t, got.body == body, "%d bytes", len(got.body))
					assertUnframed(t, got)
					assert.Equal(t, server.Requests(), i+1)
				}
			})
		}
	}
}

func TestStreamThatEndsWithItsConnectionDoesSoForItsCaller(t *testing.T) {
	for _, statusLine := range []string{statusOK, statusOld} {
		t.Run(statusLine, func(t *testing.T) {
			b, _ := newRawTestbed(t, 2, func(r *http.Request) rawanswer.Answer {
				return rawanswer.Answer{Bytes: rawHead(r, statusLine, eventType) + streamEvents(1, 3)}
			})
			for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
				for _, path := range []string{"/stream/", "/final/stream/"} {
					got := b.rawRequest(version, numbered(path))
					assert.NilError(t, got.err)
					assert.Equal(t, got.body, streamEvents(1, 3))
					assertUnframed(t, got)
				}
			}
		})
	}
}

// The end of a connection ends an answer without length and chunks: it must show a cut.
func TestCutStreamThatEndsWithItsConnectionIsReset(t *testing.T) {
	for name, head := range map[string][]string{"neither": {eventType}, "chunks": {eventType, inChunks}} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+" to "+version, func(t *testing.T) {
				events := streamEvents(1, 1) + "id: 2\ndata: ev"
				if name == "chunks" {
					events = strings.TrimSuffix(chunked(events), "0\r\n")
				}
				b, _ := newRawTestbed(t, 1, func(r *http.Request) rawanswer.Answer {
					return rawanswer.Answer{Bytes: rawHead(r, statusOK, head...) + events}
				})
				got := b.rawRequest(version, "/final/stream/")
				if name == "chunks" && version == "HTTP/1.1" {
					assert.Assert(t, !strings.HasSuffix(got.body, "0\r\n\r\n"), got.body)
					return
				}
				assert.Assert(t, errors.Is(got.err, syscall.ECONNRESET), "%v %q", got.err, got.body)
			})
		}
	}
}

// A caller that speaks HTTP/1.0 reads an answer without a length to the end of its
// connection, also if the gateway has been killed.
func TestCallWithAnEndHasALengthForItsCaller(t *testing.T) {
	body := strings.Repeat("long body ", 10_000)
	for name, answer := range framedAnswers {
		t.Run(name, func(t *testing.T) {
			b, _ := newRawTestbed(t, 1, func(r *http.Request) rawanswer.Answer {
				return rawanswer.Answer{Bytes: answer(r, callType, body)}
			})
			got := b.rawRequest("HTTP/1.0", "/once/")
			assert.NilError(t, got.err)
			assert.Assert(t, strings.Contains(got.head, withLength(body)), got.head)
			assert.Assert(t, got.body == body)
		})
	}
}

func TestResetAnswerWithoutLengthIsNotDelivered(t *testing.T) {
	b, _ := newRawTestbed(t, 1, func(r *http.Request) rawanswer.Answer {
		return rawanswer.Answer{Bytes: rawHead(r, statusOK, callType) + "half", Reset: true}
	})
	for range 20 {
		got := b.post(numbered("/once/"), "pay")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusBadGateway, "%q", got.body)
	}
}

// The answer of a target that stops after its head looks like an empty one.
func TestLookupIsSentElsewhereAfterAnEmptyAnswerWithoutLength(t *testing.T) {
	sound := platformtest.NewTarget(t, "i-1")
	b := newTestbed(t, sound)
	server := rawanswer.NewServer(t, func(r *http.Request) rawanswer.Answer {
		return rawanswer.Answer{Bytes: rawHead(r, statusOK)}
	})
	b.addRawTarget("raw-0", server)
	b.wait("the target is known", func() bool { return len(b.gateway.state.View().Targets["app"]) == 2 })
	for server.Requests() < 5 { // the choice between equal targets is random
		got := b.get(numbered("/read/"))
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, "answer of i-1")
	}
}

func TestEmptyAnswerWithoutLengthIsDeliveredIfNoOtherIsBetter(t *testing.T) {
	for name, test := range map[string]struct {
		path       string
		runs, want int
		second     string // status line of the second target's answer
	}{
		"all are empty":          {"/read/", 2, http.StatusOK, statusOK},
		"another answers later":  {"/short/", 2, http.StatusOK, ""},
		"another fails":          {"/read/", 2, http.StatusOK, "HTTP/1.1 500 Internal Server Error"},
		"another is no answer":   {"/read/", 2, http.StatusOK, "HTTP/1.1 2"},
		"it may not be repeated": {"/once-twice/", 1, http.StatusOK, statusOK},
	} {
		t.Run(name, func(t *testing.T) {
			var arrivals atomic.Int64
			b, server := newRawTestbed(t, 2, func(r *http.Request) rawanswer.Answer {
				if arrivals.Add(1) == 1 {
					return rawanswer.Answer{Bytes: rawHead(r, statusOK)}
				}
				if test.second == "" {
					return rawanswer.Answer{Hold: t.Context().Done()}
				}
				return rawanswer.Answer{Bytes: rawHead(r, test.second)}
			})
			got := b.rawRequest("HTTP/1.1", test.path)
			assert.NilError(t, got.err)
			assert.Equal(t, strings.Fields(got.head)[1], fmt.Sprint(test.want))
			assert.Equal(t, got.body, "")
			assertUnframed(t, got)
			assert.Equal(t, server.Requests(), test.runs)
		})
	}
}

// A lookup without a body to answer has an end that is known.
func TestAnswerThatHasNoBodyIsWhole(t *testing.T) {
	b, server := newRawTestbed(t, 2, func(r *http.Request) rawanswer.Answer {
		if r.Method == http.MethodHead {
			return rawanswer.Answer{Bytes: rawHead(r, statusOK)}
		}
		return rawanswer.Answer{Bytes: rawHead(r, "HTTP/1.1 204 No Content")}
	})
	for i, method := range []string{http.MethodHead, http.MethodGet} {
		got := b.do(b.request(context.Background(), method, "/read/", ""))
		assert.NilError(t, got.err)
		assert.Equal(t, got.status/100, 2)
		assert.Equal(t, server.Requests(), i+1)
	}
}

// A gateway that ends in the middle of an answer without length and chunks must not end it as
// if it were whole.
func TestEndOfTheGatewayResetsAStreamThatEndsWithItsConnection(t *testing.T) {
	for name, test := range map[string]struct {
		version string
		head    []string
	}{"neither": {"HTTP/1.1", []string{eventType}}, "length, to HTTP/1.0": {"HTTP/1.0", []string{eventType, "Content-Length: 1000"}}} {
		t.Run(name, func(t *testing.T) {
			b, _ := newRawTestbed(t, 1, func(r *http.Request) rawanswer.Answer {
				return rawanswer.Answer{Bytes: rawHead(r, statusOK, test.head...) + streamEvents(1, 1), Hold: t.Context().Done()}
			})
			server := httptest.NewUnstartedServer(b.gateway)
			server.Config.ConnContext = unframed.WithConnection
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close() //nolint:errcheck // the test ends
			assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = io.WriteString(conn, rawCallersRequest(test.version, "/final/stream/"))
			assert.NilError(t, err)
			reader := bufio.NewReader(conn)
			for line := ""; !strings.HasPrefix(line, "data: event 1"); {
				line, err = reader.ReadString('\n')
				assert.NilError(t, err)
			}
			server.CloseClientConnections()
			_, err = io.ReadAll(reader)
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		})
	}
}

// The caller of a stream that has begun in chunks gets a final chunk, as the pages take an
// answer that ends in order for whole.
func TestResumptionThatEndsWithItsConnectionIsServed(t *testing.T) {
	for name, head := range map[string][]string{"after chunks": {eventType, inChunks}, "after neither": {eventType}} {
		t.Run(name, func(t *testing.T) {
			first := streamEvents(1, 2) + "id: 3\n"
			if len(head) > 1 {
				first = strings.TrimSuffix(chunked(first), "0\r\n")
			}
			b, server := newRawTestbed(t, 2, func(r *http.Request) rawanswer.Answer {
				if r.Header.Get("Last-Event-Id") == "" {
					return rawanswer.Answer{Bytes: rawHead(r, statusOK, head...) + first}
				}
				return rawanswer.Answer{Bytes: rawHead(r, statusOK, eventType) + streamEvents(3, 5)}
			})
			got := b.post("/stream/", "prompt")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, streamEvents(1, 5))
			assert.Equal(t, server.Requests(), 2)
		})
	}
}
