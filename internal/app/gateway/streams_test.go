package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/platform/platformtest"
)

func TestStreamIsRelayedWhole(t *testing.T) {
	one := platformtest.NewTarget(t, "i-1")
	b := newTestbed(t, one)
	got := b.post("/stream/", "prompt")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, streamEvents(1, one.Events))
	assert.Equal(t, got.header.Get("Content-Type"), "text/event-stream")
}

func TestEventsAreRelayedAsTheyArrive(t *testing.T) {
	one := platformtest.NewTarget(t, "i-1")
	one.EventGap = time.Minute
	b := newTestbed(t, one)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	answer, err := http.DefaultClient.Do(b.request(ctx, http.MethodPost, "/stream/", "prompt"))
	assert.NilError(t, err)
	defer answer.Body.Close() //nolint:errcheck // the test aborts the stream
	line, err := bufio.NewReader(answer.Body).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "id: 1\n")
	cancel()
	left := time.Now()
	b.wait("the target is disconnected", func() bool { return one.Disconnects() == 1 })
	assert.Assert(t, time.Since(left) < 500*time.Millisecond)
}

func TestBrokenStreamIsResumedAtAnotherTarget(t *testing.T) {
	for name, behavior := range map[string]platformtest.Behavior{
		"cut": platformtest.ResetMidway, "ended within an event": platformtest.EndMidEvent,
	} {
		t.Run(name, func(t *testing.T) {
			one, two := platformtest.NewTarget(t, "i-1", behavior), platformtest.NewTarget(t, "i-2")
			b := newTestbed(t, one, two)
			for arrived(one) == 0 { // the choice between equal targets is random
				got := b.post("/stream/", "prompt")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, streamEvents(1, one.Events))
			}
		})
	}
}

// The caller may get no more than the events of the stream, and must see that it is cut.
func TestFailedResumptionLeavesNoTraceInAStream(t *testing.T) {
	for name, behavior := range map[string]platformtest.Behavior{
		"error status": platformtest.Fail, "rejection": platformtest.Reject, "unsigned": platformtest.Unsigned,
		"end before the first event": platformtest.EmptyStream, "error written into the stream": platformtest.ErrorInStream,
		"error as an event": platformtest.ErrorEvent, "answer of another request": platformtest.WrongRequest,
	} {
		t.Run(name, func(t *testing.T) {
			one, two := platformtest.NewTarget(t, "i-1", platformtest.ResetMidway), platformtest.NewTarget(t, "i-2", platformtest.ResetMidway)
			one.OnResume, two.OnResume = behavior, behavior
			b := newTestbed(t, one, two)
			got := b.post("/stream/", "prompt")
			assert.Assert(t, got.err != nil, "a broken stream looks complete: %q", got.body)
			assert.Equal(t, got.body, streamEvents(1, one.Events/2))
			assert.Equal(t, arrived(one, two), 2)
		})
	}
}

func TestStreamWithoutEventsIsNotComplete(t *testing.T) {
	for name, behavior := range map[string]platformtest.Behavior{"empty": platformtest.EmptyStream, "served": platformtest.Serve} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, platformtest.NewTarget(t, "i-1", behavior))
			got := b.post("/final/stream/", "prompt")
			assert.Equal(t, got.err == nil && got.status == http.StatusOK, behavior == platformtest.Serve, "%d %q", got.status, got.body)
		})
	}
}

func TestBrokenNonResumableStreamIsAborted(t *testing.T) {
	one := platformtest.NewTarget(t, "i-1", platformtest.ResetMidway)
	two := platformtest.NewTarget(t, "i-2", platformtest.ResetMidway)
	b := newTestbed(t, one, two)
	got := b.post("/final/stream/", "prompt")
	assert.Assert(t, got.err != nil, "a broken stream looks complete: %q", got.body)
	assert.Equal(t, ran(one, two), 1)
}

func TestCallerResumesAStream(t *testing.T) {
	one := platformtest.NewTarget(t, "i-1")
	b := newTestbed(t, one)
	request := b.request(t.Context(), http.MethodPost, "/stream/", "prompt")
	request.Header.Set("Last-Event-Id", "3")
	got := b.do(request)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, streamEvents(4, one.Events))
}

func TestStreamOfABrokenGroupIsRefusedAtOnce(t *testing.T) {
	one := platformtest.NewTarget(t, "i-1", platformtest.RejectNamingFaulty)
	two := platformtest.NewTarget(t, "i-2", platformtest.RejectNamingFaulty)
	b := newTestbed(t, one, two)
	got := b.post("/stream/", "prompt")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, arrived(one, two), 1)
}

// A stream is resumed at another target if its own target sends no events while
// streams of other targets have some.
func TestSilentTargetIsLeftWhileOthersGoOn(t *testing.T) {
	silent := platformtest.NewTarget(t, "i-1", platformtest.Hang, platformtest.Hang)
	two, three := platformtest.NewTarget(t, "i-2"), platformtest.NewTarget(t, "i-3")
	for _, target := range []*platformtest.Target{two, three} {
		target.Events = 30 // 1.5 s, of the deadline of 4 s; the silent target is left after 0.9 s
		target.EventGap = 50 * time.Millisecond
	}
	b := newTestbed(t, silent, two, three)
	answers := make(chan reply, 6)
	for range cap(answers) {
		request := b.request(t.Context(), http.MethodPost, "/stream/", "prompt")
		go func() { answers <- b.do(request) }()
	}
	for range cap(answers) {
		got := <-answers
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
	}
}

// brokenWriter is the connection of a caller that is gone: what is written to it fails.
type brokenWriter struct{ header http.Header }

func (w *brokenWriter) Header() http.Header       { return w.header }
func (w *brokenWriter) WriteHeader(int)           {}
func (w *brokenWriter) Write([]byte) (int, error) { return 0, net.ErrClosed }

func TestCallerThatLeavesMidStreamIsCountedOutOfTheTargetsLoad(t *testing.T) {
	one := platformtest.NewTarget(t, "i-1")
	b := newTestbed(t, one)
	func() {
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		b.gateway.ServeHTTP(&brokenWriter{make(http.Header)}, b.request(t.Context(), http.MethodPost, "/stream/", "prompt"))
	}()
	assert.Equal(t, arrived(one), 1)
	assert.Equal(t, len(b.gateway.loads.ownRequests(time.Now())), 0)
}
