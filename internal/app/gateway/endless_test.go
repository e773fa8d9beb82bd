package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/platform/platformtest"
)

// The most that a gateway may take of an answer that does not end: its own limit, and
// what the buffers of two sockets hold.
const (
	endlessHead = 8 << 20  // bytes
	endlessBody = 16 << 20 // bytes
)

// assertAbandoned waits until the gateway has closed the connection of an endless answer.
func assertAbandoned(t *testing.T, b *testbed, target *platformtest.Target, limit int64) {
	t.Helper()
	b.wait("the gateway has closed the connection", func() bool { return target.Disconnects() == 1 })
	taken := target.EndlessBytes()
	assert.Assert(t, taken < limit, "%d bytes of an answer were taken", taken)
}

func TestAnswerWithoutEndIsRepeatedAtAnotherTarget(t *testing.T) {
	for name, test := range map[string]struct {
		path     string
		behavior platformtest.Behavior
		limit    int64
	}{
		"head":            {"/read/", platformtest.EndlessHead, endlessHead},
		"body":            {"/read/", platformtest.EndlessBody, endlessBody},
		"head of stream":  {"/stream/", platformtest.EndlessHead, endlessHead},
		"event":           {"/stream/", platformtest.EndlessEvent, endlessBody},
		"stream comments": {"/stream/", platformtest.EndlessComments, endlessBody},
	} {
		t.Run(name, func(t *testing.T) {
			one, two := platformtest.NewTarget(t, "i-1", test.behavior), platformtest.NewTarget(t, "i-2")
			b := newTestbed(t, one, two)
			for arrived(one) == 0 { // the choice between equal targets is random
				started := time.Now()
				got := b.post(test.path, "prompt")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Assert(t, time.Since(started) < 2*time.Second)
			}
			assertAbandoned(t, b, one, test.limit)
		})
	}
}

func TestAnswerWithoutEndToWhatMayNotBeRepeatedFailsAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		behavior platformtest.Behavior
		limit    int64
	}{
		"head": {platformtest.EndlessHead, endlessHead},
		"body": {platformtest.EndlessBody, endlessBody},
	} {
		t.Run(name, func(t *testing.T) {
			one := platformtest.NewTarget(t, "i-1", test.behavior)
			b := newTestbed(t, one)
			started := time.Now()
			got := b.post("/once-twice/", "form")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Assert(t, time.Since(started) < 2*time.Second, "the route allows 5 s")
			assert.Equal(t, arrived(one), 1)
			assertAbandoned(t, b, one, test.limit)
		})
	}
}
