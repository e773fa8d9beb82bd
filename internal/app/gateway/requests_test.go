package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/platform/platformtest"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	target := platformtest.NewTarget(t, "i-1")
	b := newTestbed(t, target)
	request := b.request(t.Context(), http.MethodPost, "/once/a%2Fb/?x=1&y=%20z", "the body")
	request.Header.Set("Tenant", "somebody-else")
	request.Header.Set("X-Custom", "kept")
	request.Header.Set("Connection", "X-Hop")
	request.Header.Set("X-Hop", "dropped")
	got := b.do(request)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "answer of i-1")
	assert.Equal(t, got.header.Get("Server-Stamp"), "stamp-i-1")

	arrival := target.Arrivals()[0]
	assert.Equal(t, arrival.URI, "/once/a%2Fb/?x=1&y=%20z")
	assert.Equal(t, arrival.Body, "the body")
	h := arrival.Header
	assert.Equal(t, h.Get("Attempt-Id"), request.Header.Get("Attempt-Id"))
	assert.Equal(t, h.Get("Tenant"), testAccount)
	assert.Equal(t, h.Get("Expect-Instance"), "i-1")
	assert.Equal(t, h.Get("Credential"), "")
	assert.Equal(t, h.Get("X-Custom"), "kept")
	assert.Equal(t, h.Get("X-Hop"), "")
	left, err := strconv.Atoi(h.Get("Deadline-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, left <= 4000 && left > 3000, "deadline %d", left)
}

func TestRequestsThatAreNotAllowed(t *testing.T) {
	target := platformtest.NewTarget(t, "i-1")
	b := newTestbed(t, target)
	unknownKey := b.request(t.Context(), http.MethodGet, "/read/", "")
	unknownKey.Header.Set("Credential", "stranger")
	assert.Equal(t, b.do(unknownKey).status, http.StatusUnauthorized)
	assert.Equal(t, b.get("/nowhere/").status, http.StatusNotFound)
	assert.Equal(t, b.post("/once/", strings.Repeat("x", 5000)).status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, arrived(target), 0)
}

// A non-idempotent request runs only once, whatever happens to its answer, and its
// caller is never told that it has not run.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	for name, behavior := range map[string]platformtest.Behavior{
		"reset": platformtest.Reset, "cut": platformtest.ResetMidway, "wrong request": platformtest.WrongRequest,
		"unsigned": platformtest.Unsigned,
	} {
		t.Run(name, func(t *testing.T) {
			one, two := platformtest.NewTarget(t, "i-1", behavior), platformtest.NewTarget(t, "i-2", behavior)
			b := newTestbed(t, one, two)
			got := b.post("/once-twice/", "pay")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Equal(t, ran(one, two), 1)
		})
	}
}

func TestTargetErrorForNonIdempotentRequestIsReturned(t *testing.T) {
	one, two := platformtest.NewTarget(t, "i-1", platformtest.Fail), platformtest.NewTarget(t, "i-2", platformtest.Fail)
	b := newTestbed(t, one, two)
	got := b.post("/once-twice/", "pay")
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, got.body, "failed")
	assert.Equal(t, ran(one, two), 1)
}

func TestRejectedRequestIsRetriedAtAnotherTarget(t *testing.T) {
	one, two := platformtest.NewTarget(t, "i-1", platformtest.Reject), platformtest.NewTarget(t, "i-2", platformtest.Reject)
	b := newTestbed(t, one, two)
	got := b.post("/once-twice/", "pay")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, arrived(one), 1)
	assert.Equal(t, arrived(two), 1)
	assert.Equal(t, ran(one, two), 0)
}

func TestAttemptsAreBounded(t *testing.T) {
	one, two := platformtest.NewTarget(t, "i-1", platformtest.Reject), platformtest.NewTarget(t, "i-2", platformtest.Reject)
	b := newTestbed(t, one, two)
	assert.Equal(t, b.post("/once/", "pay").status, http.StatusServiceUnavailable)
	assert.Equal(t, arrived(one, two), 1)
}

func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, behavior := range map[string]platformtest.Behavior{
		"failed": platformtest.Fail, "reset": platformtest.Reset, "cut": platformtest.ResetMidway,
		"wrong request": platformtest.WrongRequest, "unsigned": platformtest.Unsigned, "hangs": platformtest.Hang,
	} {
		t.Run(name, func(t *testing.T) {
			one, two := platformtest.NewTarget(t, "i-1", behavior), platformtest.NewTarget(t, "i-2")
			b := newTestbed(t, one, two)
			for arrived(one) == 0 { // the choice between equal targets is random
				got := b.get("/read/")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
			}
		})
	}
}

func TestUnreachableTargetIsSkipped(t *testing.T) {
	one, two := platformtest.NewTarget(t, "i-1"), platformtest.NewTarget(t, "i-2")
	b := newTestbed(t, two)
	gone := targetRecord(one, object{"address": localAddress(freePorts(t, 1)[0])})
	b.store.PutJSON(t, "keyed.servers", "i-1", gone)
	b.wait("the target is known", func() bool { return len(b.gateway.state.View().Targets["app"]) == 2 })
	for range 4 {
		assert.Equal(t, b.post("/once/", "pay").status, http.StatusOK)
	}
}

// The registry may list a target at an address that another target has taken over.
func TestAddressTakenOverByAnotherTarget(t *testing.T) {
	one, two := platformtest.NewTarget(t, "i-1"), platformtest.NewTarget(t, "i-2")
	b := newTestbed(t, two)
	b.store.PutJSON(t, "keyed.servers", "i-old", targetRecord(one, nil))
	b.wait("the target is known", func() bool { return len(b.gateway.state.View().Targets["app"]) == 2 })
	for range 4 {
		assert.Equal(t, b.post("/once-twice/", "pay").status, http.StatusOK)
	}
	assert.Equal(t, ran(one), 0)
}

func TestAnswerAtTheRoutesTimeout(t *testing.T) {
	one, two := platformtest.NewTarget(t, "i-1", platformtest.Hang), platformtest.NewTarget(t, "i-2", platformtest.Hang)
	b := newTestbed(t, one, two)
	started := time.Now()
	got := b.get("/short/")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	took := time.Since(started)
	assert.Assert(t, took < 800*time.Millisecond, "took %s for a timeout of 300 ms", took)
}

func TestDisconnectedCallerCancelsIdempotentRequest(t *testing.T) {
	one := platformtest.NewTarget(t, "i-1", platformtest.Hang)
	b := newTestbed(t, one)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	request := b.request(ctx, http.MethodGet, "/read/", "")
	go func() {
		b.do(request)
		close(done)
	}()
	b.wait("the request runs", func() bool { return arrived(one) == 1 })
	cancel()
	<-done
	left := time.Now()
	b.wait("the target is disconnected", func() bool { return one.Disconnects() == 1 })
	assert.Assert(t, time.Since(left) < 500*time.Millisecond)
}

// A request is refused after a few runs if every target that runs it resets the
// connection, as a target that crashes does.
func TestRequestThatCrashesTargetsIsEventuallyRefused(t *testing.T) {
	var resets []platformtest.Behavior
	for range 50 {
		resets = append(resets, platformtest.Reset)
	}
	one, two := platformtest.NewTarget(t, "i-1", resets...), platformtest.NewTarget(t, "i-2", resets...)
	b := newTestbed(t, one, two)
	for range 10 {
		b.post("/stream/x", "deadly")
	}
	assert.Assert(t, ran(one, two) <= 6, "ran %d times", ran(one, two))
	assert.Equal(t, b.post("/stream/x", "deadly").status, http.StatusServiceUnavailable)
}

// The retries of all requests together stay within the gateway's share of the
// retry budget.
func TestRetriesAreBounded(t *testing.T) {
	var rejections []platformtest.Behavior
	for range 400 {
		rejections = append(rejections, platformtest.Reject)
	}
	one, two := platformtest.NewTarget(t, "i-1", rejections...), platformtest.NewTarget(t, "i-2", rejections...)
	b := newTestbed(t, one, two)
	const requests = 150
	for range requests {
		b.get("/read/")
	}
	again := arrived(one, two) - requests
	bound := 0.2*requests + 200
	assert.Assert(t, float64(again) <= bound, "%d arrivals beyond the first of %d requests", again, requests)
	assert.Assert(t, again > 10, "only %d retries", again)
}

// After a suspension, a gateway reads requests whose callers have given up and
// sent them again elsewhere.
func TestAbandonedRequestIsNotSentAfterASuspension(t *testing.T) {
	one := platformtest.NewTarget(t, "i-1")
	b := newTestbed(t, one)
	b.gateway.suspension.ended.Store(time.Now().UnixNano())
	conn, err := net.Dial("tcp", b.gateway.node.CallerAddress)
	assert.NilError(t, err)
	_, err = fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: %s\r\nCredential: %s\r\nAttempt-Id: left\r\nContent-Length: 3\r\n\r\npay", testHost, testKey)
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	assert.Equal(t, b.get("/read/").status, http.StatusOK) // sent after the abandoned request
	assert.Equal(t, arrived(one), 1)
}

// Answers are lost now and then although their target lives. Requests without a body, or
// whose body repeats, are alike, and those that are answered in between crash nothing.
func TestRequestWhoseAnswersAreLostNowAndThenIsStillServed(t *testing.T) {
	one := platformtest.NewTarget(t, "i-1")
	b := newTestbed(t, one)
	for range 8 {
		one.QueueBehaviors(platformtest.Reset)
		assert.Equal(t, b.get("/read/").status, http.StatusBadGateway)
		b.wait("the target is used again", func() bool { return b.get("/read/").status == http.StatusOK })
	}
}

func TestRequestIsNotRefusedForAnotherWithADifferentQuery(t *testing.T) {
	var resets []platformtest.Behavior
	for range 20 {
		resets = append(resets, platformtest.Reset)
	}
	one := platformtest.NewTarget(t, "i-1", resets...)
	b := newTestbed(t, one)
	for b.get("/read/?id=1").body != "kills_targets\n" {
		assert.Assert(t, arrived(one) < len(resets))
	}
	arrivedBefore := arrived(one)
	b.get("/read/?id=2")
	assert.Assert(t, arrived(one) > arrivedBefore, "the request was not sent")
}

// No target crashed: lookups that were lost are served again once targets answer.
func TestLookupsThatWereLostAreServedOnceTargetsAnswer(t *testing.T) {
	for name, behavior := range map[string]platformtest.Behavior{"timed out": platformtest.Hang, "reset": platformtest.Reset} {
		t.Run(name, func(t *testing.T) {
			lost := slices.Repeat([]platformtest.Behavior{behavior}, 5)
			one, two := platformtest.NewTarget(t, "i-1", lost...), platformtest.NewTarget(t, "i-2", lost...)
			b := newTestbed(t, one, two)
			b.wait("a lookup is served again", func() bool { return b.get("/short/").status == http.StatusOK })
			for range 10 {
				assert.Equal(t, b.get("/short/").status, http.StatusOK)
			}
		})
	}
}
