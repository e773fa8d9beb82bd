package rankengine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/internal/app/standin/ranks"
	"quetzalbend/internal/core/expertmap"
)

// newTestClient returns a client of a stand-in for a group of one rank whose engine
// checks fencing tokens.
func newTestClient(t *testing.T) *Client {
	t.Helper()
	first := expertmap.Map{Payload: []byte("first")}
	server := httptest.NewServer(ranks.NewServer(ranks.NewGroup(1, first, true), first))
	t.Cleanup(server.Close)
	return New(server.Client(), server.URL, 0)
}

func TestOrdersReachTheEngine(t *testing.T) {
	ctx := context.Background()
	c := newTestClient(t)
	next := expertmap.Map{Version: 1, Payload: []byte("next")}
	assert.NilError(t, c.Fence(ctx, 5))
	assert.NilError(t, c.Stage(ctx, 5, next))
	held, err := c.Hold(ctx, 5, expertmap.Hold{Instance: 1, Version: 1, Now: true})
	assert.NilError(t, err)
	assert.Assert(t, held)
	followed, err := c.Follow(ctx, 5, expertmap.Decision{Instance: 1, Activate: true, Map: next, Step: 1, Epoch: 1})
	assert.NilError(t, err)
	assert.Assert(t, followed)
	state, err := c.State(ctx)
	assert.NilError(t, err)
	assert.Equal(t, state.Epoch, int64(1))
	assert.DeepEqual(t, state.Current, next)
	assert.Assert(t, errors.Is(c.Stage(ctx, 4, next), ErrRefused))
	_, err = c.Report(ctx)
	assert.ErrorContains(t, err, "503")
}

// A restarted agent must wait for the orders of its predecessor: an order whose
// sender has given up can still take effect later at an engine that ignores fencing
// tokens.
func TestAbandonedOrderStillReachesEngineThatIgnoresFencing(t *testing.T) {
	first := expertmap.Map{Payload: []byte("first")}
	engines := ranks.NewServer(ranks.NewGroup(1, first, false), first)
	ctx, cancel := context.WithCancel(context.Background())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil && strings.HasSuffix(r.URL.Path, "/orders") {
			cancel() // the order has arrived; its sender gives up
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		engines.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	fault := bytes.NewBufferString(`{"late_rank":0,"late_order_ms":50}`)
	response, err := http.Post(server.URL+"/standin/fault", "application/json", fault)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())

	c := New(server.Client(), server.URL, 0)
	assert.Assert(t, errors.Is(c.Stage(ctx, 1, expertmap.Map{Version: 7}), context.Canceled))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		state, err := c.State(context.Background())
		if err == nil && state.Staged == 7 {
			return poll.Success()
		}
		return poll.Continue("state %+v, %v", state, err)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}
