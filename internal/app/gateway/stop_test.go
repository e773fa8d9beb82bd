package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/platform/platformtest"
)

// testGrace is the grace period in tests of a stop. Their times are those of a grace
// period of 8 s, shortened alike.
const testGrace = 4 * time.Second

func graceTime(seconds float64) time.Duration {
	return time.Duration(seconds / 8 * float64(testGrace))
}

// stopBed is a testbed whose gateway is told to stop.
type stopBed struct {
	*testbed
	stopped time.Time
}

// newStopBed starts a gateway with routes of 30 s.
func newStopBed(t *testing.T, targets ...*platformtest.Target) *stopBed {
	t.Helper()
	b := &testbed{t: t, store: platformtest.NewStore(t)}
	long := object{"timeoutMs": 30000, "targetLatencyMs": 30000}
	b.store.PutJSON(t, "keyed.op", "config", testSettings(1,
		testRoute("/long/once/", "non_idempotent", long), testRoute("/long/read/", "idempotent", long),
		testRoute("/long/stream/", "streaming", long)))
	for _, target := range targets {
		b.store.PutJSON(t, "keyed.servers", target.ID, targetRecord(target, nil))
	}
	node := testNode(t, "gateway-1", b.store.Address(), nil)
	node.GracePeriod = testGrace
	b.gateway, b.stop, b.ended = startNode(t, node)
	b.waitReady()
	b.wait("the targets are known", func() bool { return len(b.gateway.state.View().All) == len(targets) })
	return &stopBed{testbed: b}
}

func (b *stopBed) tellToStop() {
	b.stopped = time.Now()
	b.stop()
}

// waitFor waits until a time of a grace period of 8 s has come.
func (b *stopBed) waitFor(seconds float64) {
	b.t.Helper()
	b.wait("the grace period has come so far", func() bool { return time.Since(b.stopped) >= graceTime(seconds) })
}

// assertEnds checks that the process ends before it would be killed.
func (b *stopBed) assertEnds() {
	b.t.Helper()
	assert.NilError(b.t, <-b.ended)
	assert.Assert(b.t, time.Since(b.stopped) < testGrace, "ended after %s", time.Since(b.stopped))
}

// rawRequest is a request that a test sends piece by piece on a connection of its own.
type rawRequest struct {
	t      *testing.T
	bed    *stopBed
	conn   net.Conn
	reader *bufio.Reader
}

func (b *stopBed) connect() *rawRequest {
	b.t.Helper()
	conn, err := net.Dial("tcp", b.gateway.node.CallerAddress)
	assert.NilError(b.t, err)
	b.t.Cleanup(func() { conn.Close() }) //nolint:errcheck // it may be closed already
	return &rawRequest{b.t, b, conn, bufio.NewReader(conn)}
}

func (r *rawRequest) send(text string) {
	r.t.Helper()
	_, err := io.WriteString(r.conn, text)
	assert.NilError(r.t, err)
}

// sendHead sends the head of a request with a body of 3 bytes.
func (r *rawRequest) sendHead(path string, deadline time.Duration) {
	r.t.Helper()
	r.send(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nCredential: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 3\r\n\r\n",
		path, testHost, testKey, nextRequestID(), deadline.Milliseconds()))
}

// answer reads the answer, which must come before the process would be killed.
func (r *rawRequest) answer() reply {
	r.t.Helper()
	until := time.Now().Add(testGrace)
	if !r.bed.stopped.IsZero() {
		until = r.bed.stopped.Add(testGrace)
	}
	assert.NilError(r.t, r.conn.SetReadDeadline(until))
	answer, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close() //nolint:errcheck // read to its end below
	if answer.Close {
		answer.Header.Set("Connection", "close")
	}
	body, err := io.ReadAll(answer.Body)
	return reply{answer.StatusCode, answer.Header, string(body), err}
}

// assertRefused checks that an answer says that the request has not run and that the
// connection is closed.
func assertRefused(t *testing.T, got reply) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get("Retry-After"), "0.00")
	assert.Equal(t, got.header.Get("Connection"), "close")
}

const longDeadline = 30 * time.Second

// A call whose body ended late was passed on and cut at the end of the grace period.
func TestCallWhoseBodyEndsLateInAStopIsRefusedAndNotRun(t *testing.T) {
	for _, path := range []string{"/long/once/", "/long/read/", "/long/stream/"} {
		for _, last := range []float64{4, 6.5, 7} {
			t.Run(fmt.Sprint(path, last), func(t *testing.T) {
				t.Parallel()
				one := platformtest.NewTarget(t, "i-1", platformtest.Hang, platformtest.Hang)
				b := newStopBed(t, one)
				b.tellToStop()
				b.waitFor(2)
				r := b.connect()
				r.sendHead(path, longDeadline)
				r.send("pa")
				b.waitFor(last)
				r.send("y")
				assertRefused(t, r.answer())
				assert.Equal(t, arrived(one), 0)
				b.assertEnds()
			})
		}
	}
}

// A request whose body never ends was cut without an answer.
func TestRequestWhoseBodyNeverEndsIsRefusedBeforeAStopEnds(t *testing.T) {
	t.Parallel()
	one := platformtest.NewTarget(t, "i-1")
	b := newStopBed(t, one)
	r := b.connect()
	r.sendHead("/long/once/", longDeadline)
	r.send("pa")
	b.tellToStop()
	assertRefused(t, r.answer())
	assert.Equal(t, arrived(one), 0)
	b.assertEnds()
}

// A call that was passed on was cut without an answer if its target was slow.
func TestRequestThatIsPassedOnIsAnsweredBeforeAStopEnds(t *testing.T) {
	for _, path := range []string{"/long/once/", "/long/read/", "/long/stream/"} {
		for _, sent := range []float64{-1, 0, 2} {
			t.Run(fmt.Sprint(path, sent), func(t *testing.T) {
				t.Parallel()
				one := platformtest.NewTarget(t, "i-1", platformtest.Hang, platformtest.Hang)
				b := newStopBed(t, one)
				r := b.connect()
				if sent >= 0 {
					b.tellToStop()
					b.waitFor(sent)
				}
				r.sendHead(path, longDeadline)
				r.send("pay")
				b.wait("the request runs", func() bool { return arrived(one) > 0 })
				if sent < 0 {
					b.tellToStop()
				}
				got := r.answer()
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusGatewayTimeout)
				assert.Assert(t, time.Since(b.stopped) > testGrace*5/6, "given up after %s", time.Since(b.stopped))
				assert.Equal(t, ran(one), 1)
				assert.Equal(t, len(b.gateway.strikes.Counts(time.Now())), 0, "the stop counts against the request")
				b.assertEnds()
			})
		}
	}
}

// Answers that are due at the same moment, the last one of a stop, must all be written.
func TestManyRequestsThatRunAreAllAnsweredBeforeAStopEnds(t *testing.T) {
	t.Parallel()
	const requests = 90 // of the 100 connections that the target allows
	one := platformtest.NewTarget(t, "i-1", slices.Repeat([]platformtest.Behavior{platformtest.Hang}, requests)...)
	b := newStopBed(t, one)
	raw := make([]*rawRequest, requests)
	for i := range raw {
		raw[i] = b.connect()
		raw[i].sendHead("/long/once/", longDeadline)
		raw[i].send("pay")
	}
	b.wait("the requests run", func() bool { return arrived(one) == requests })
	b.tellToStop()
	for _, r := range raw {
		got := r.answer()
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusGatewayTimeout)
	}
	b.assertEnds()
}

// A request on a connection that was kept open was cut off without an answer.
func TestRequestOnAKeptConnectionIsAnsweredUntilAStopEnds(t *testing.T) {
	t.Parallel()
	one := platformtest.NewTarget(t, "i-1")
	b := newStopBed(t, one)
	times := []float64{3.5, 5, 6.5, 7}
	kept := make([]*rawRequest, len(times))
	for i := range kept {
		kept[i] = b.connect()
		kept[i].sendHead("/long/once/", longDeadline)
		kept[i].send("pay")
		assert.Equal(t, kept[i].answer().status, http.StatusOK)
	}
	b.tellToStop()
	for i, at := range times {
		b.waitFor(at)
		kept[i].sendHead("/long/once/", longDeadline)
		kept[i].send("pay")
		assertRefused(t, kept[i].answer())
	}
	assert.Equal(t, arrived(one), len(times))
	b.assertEnds()
}

func TestRequestsThatCanBeServedInAStopAreServed(t *testing.T) {
	for name, test := range map[string]struct {
		sent     float64 // seconds of a grace period of 8 s
		deadline time.Duration
	}{
		"sent on time":                {2.5, longDeadline},
		"late, with a short deadline": {4, graceTime(3)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			one := platformtest.NewTarget(t, "i-1")
			one.Delay = graceTime(2)
			b := newStopBed(t, one)
			r := b.connect()
			b.tellToStop()
			b.waitFor(test.sent)
			r.sendHead("/long/once/", test.deadline)
			r.send("pay")
			got := r.answer()
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.header.Get("Connection"), "close")
			b.assertEnds()
		})
	}
}

// An answer that came after the first seconds of a stop left its connection open.
func TestAnswerToARequestOfBeforeAStopClosesItsConnection(t *testing.T) {
	t.Parallel()
	one := platformtest.NewTarget(t, "i-1")
	one.Delay = graceTime(2)
	b := newStopBed(t, one)
	r := b.connect()
	r.sendHead("/long/once/", longDeadline)
	r.send("pay")
	b.wait("the request runs", func() bool { return arrived(one) == 1 })
	b.tellToStop()
	got := r.answer()
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.header.Get("Connection"), "close")
	b.assertEnds()
}

// A call that a target rejected late in the grace period was sent once more and cut.
func TestCallThatIsRejectedLateInAStopIsNotSentAgain(t *testing.T) {
	t.Parallel()
	one := platformtest.NewTarget(t, "i-1", platformtest.Reject, platformtest.Hang)
	two := platformtest.NewTarget(t, "i-2", platformtest.Reject, platformtest.Hang)
	one.Delay, two.Delay = graceTime(3), graceTime(3)
	b := newStopBed(t, one, two)
	b.tellToStop()
	b.waitFor(2)
	r := b.connect()
	r.sendHead("/long/once/", longDeadline)
	r.send("pay")
	assertRefused(t, r.answer())
	assert.Equal(t, arrived(one, two), 1)
	b.assertEnds()
}

// A gateway without settings, or with a grace period shorter than the usual one, was killed.
func TestStopEndsWithinAnyGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{0, 200 * time.Millisecond, 2 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			node := testNode(t, "gateway-1", platformtest.NewStore(t).Address(), nil)
			node.GracePeriod = grace
			g, stop, ended := startNode(t, node)
			b := &testbed{t: t, gateway: g}
			b.wait("the gateway listens", func() bool { return b.health() != 0 })
			idle, err := net.Dial("tcp", node.CallerAddress)
			assert.NilError(t, err)
			defer idle.Close() //nolint:errcheck // nothing was sent
			stopped := time.Now()
			stop()
			assert.NilError(t, <-ended)
			assert.Assert(t, time.Since(stopped) < grace+100*time.Millisecond, "ended after %s", time.Since(stopped))
		})
	}
}
