package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// keptConnection is a connection of a caller that sends one request after the other.
type keptConnection struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, e *Entry) *keptConnection {
	t.Helper()
	conn, err := net.Dial("tcp", e.CallersAddr())
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	t.Cleanup(func() { _ = conn.Close() })
	return &keptConnection{t, conn, bufio.NewReader(conn)}
}

func (k *keptConnection) sendChat(stream bool) {
	k.t.Helper()
	body := fmt.Sprintf(`{"model":"draft","stream":%v,"messages":[{"role":"user","content":"hi"}]}`, stream)
	_, err := fmt.Fprintf(k.conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.NilError(k.t, err)
}

// answer returns the answer to the request that was sent, and how its body ends.
func (k *keptConnection) answer() (*http.Response, string, error) {
	k.t.Helper()
	answer, err := http.ReadResponse(k.reader, nil)
	assert.NilError(k.t, err)
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return answer, string(body), err
}

// assertProblem checks a failure that is a whole answer.
func (k *keptConnection) assertProblem(status int, code, ran string) {
	k.t.Helper()
	answer, body, err := k.answer()
	assert.NilError(k.t, err)
	assert.Equal(k.t, answer.StatusCode, status, "%s", body)
	assert.Assert(k.t, answer.Close)
	var problem struct{ Code, Ran string }
	assert.NilError(k.t, json.Unmarshal([]byte(body), &problem))
	assert.Equal(k.t, problem.Code, code)
	assert.Equal(k.t, problem.Ran, ran)
}

// A request on a connection that was kept open had no answer.
func TestRequestOnAKeptConnectionOfALeavingEntryIsAnswered(t *testing.T) {
	const notice = time.Second
	s := newTestSystem(t)
	s.putDefaults()
	close(s.release)
	e, leave, done := s.start("e0", func(c *Config) { c.NoticeMS, c.GraceMS = notice.Milliseconds(), 3000 })
	waitReady(t, e)
	kept := connect(t, e)
	kept.sendChat(false)
	answer, _, err := kept.answer()
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	leaving := time.Now()
	leave()
	eventually(t, "the notice time is over", func() bool { return time.Since(leaving) > notice+notice/5 })
	kept.sendChat(false)
	kept.assertProblem(http.StatusServiceUnavailable, "leaving", "no")
	assert.NilError(t, <-done)
	assert.Assert(t, time.Since(leaving) < 2*notice, "left after %s without connections", time.Since(leaving))
}

// A call that ran at the end of the grace time was cut off without an answer.
func TestCallThatRunsAtTheEndOfTheGraceTimeIsAnswered(t *testing.T) {
	s := newTestSystem(t)
	s.putDefaults()
	defer close(s.release)
	e, leave, done := s.start("e0", func(c *Config) { c.NoticeMS, c.GraceMS = 300, 500 })
	waitReady(t, e)
	call, stream := connect(t, e), connect(t, e)
	call.sendChat(false)
	stream.sendChat(true)
	first, err := stream.reader.Peek(len("HTTP/1.1 200"))
	assert.NilError(t, err)
	assert.Equal(t, string(first), "HTTP/1.1 200")
	leave()
	call.assertProblem(http.StatusGatewayTimeout, "entry_stopped", "unknown")
	_, body, err := stream.answer()
	assert.Assert(t, err != nil, "a broken stream looks complete: %q", body)
	assert.Assert(t, strings.Contains(body, `"code":"entry_stopped"`), "%s", body)
	assert.NilError(t, <-done)
}

// A request on an HTTP/2 connection of a leaving entry had no answer.
func TestRequestOnAnHTTP2ConnectionOfALeavingEntryIsAnswered(t *testing.T) {
	const notice = time.Second
	s := newTestSystem(t)
	s.putDefaults()
	close(s.release)
	e, leave, done := s.start("e0", func(c *Config) { c.NoticeMS, c.GraceMS = notice.Milliseconds(), 3000 })
	waitReady(t, e)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	dials := 0
	transport := &http.Transport{Protocols: protocols, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	defer transport.CloseIdleConnections()
	send := func() (int, string) {
		body := `{"model":"draft","messages":[{"role":"user","content":"hi"}]}`
		request, err := http.NewRequest(http.MethodPost, "http://"+e.CallersAddr()+"/v1/chat/completions", strings.NewReader(body))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer secret")
		answer, err := transport.RoundTrip(request)
		assert.NilError(t, err)
		defer func() { _ = answer.Body.Close() }()
		text, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		return answer.StatusCode, string(text)
	}
	status, text := send()
	assert.Equal(t, status, http.StatusOK, "%s", text)
	leaving := time.Now()
	leave()
	eventually(t, "the notice time is over", func() bool { return time.Since(leaving) > notice+notice/5 })
	status, text = send()
	assert.Equal(t, status, http.StatusServiceUnavailable, "%s", text)
	assert.Assert(t, strings.Contains(text, `"code":"leaving"`), "%s", text)
	assert.Equal(t, dials, 1)
	assert.NilError(t, <-done)
	assert.Assert(t, time.Since(leaving) < 2*notice, "left after %s without connections", time.Since(leaving))
}

// A request whose body never ended was cut off without an answer.
func TestRequestWhoseBodyNeverEndsIsAnsweredByALeavingEntry(t *testing.T) {
	s := newTestSystem(t)
	s.putDefaults()
	e, leave, done := s.start("e0", func(c *Config) { c.GraceMS = 500 })
	waitReady(t, e)
	kept := connect(t, e)
	_, err := io.WriteString(kept.conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nContent-Length: 100\r\n\r\n{")
	assert.NilError(t, err)
	leave()
	kept.assertProblem(http.StatusRequestTimeout, "body_timeout", "no")
	assert.NilError(t, <-done)
}
