package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/registry"
	"quetzalbend/platform/platformtest"
)

// heldDials holds all dials back until a time.
type heldDials struct{ until atomic.Pointer[time.Time] }

func (h *heldDials) apply(g *Gateway) {
	dial := g.transport.DialContext
	g.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if until := h.until.Load(); until != nil {
			select {
			case <-time.After(time.Until(*until)):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		return dial(ctx, network, address)
	}
}

// The same bound as in TestColdTargetGetsNoMoreThanItsBoundFromManyGateways. The requests
// that the gateways admit first leave late, but before dials time out.
func TestColdTargetGetsNoMoreThanItsBoundWhenRequestsLeaveLate(t *testing.T) {
	const gateways, perSecond, allowed = 9, 1, 6
	target := platformtest.NewTarget(t, "i-1")
	first := newTestbed(t)
	first.store.PutJSON(t, "keyed.op", "config", coldSettings(2, perSecond))
	first.store.PutJSON(t, "keyed.servers", target.ID, targetRecord(target, object{"coldRemainingMs": 0}))
	var dials heldDials
	var beds []*testbed
	for i := range gateways {
		g, stop, ended := startPrepared(t, fmt.Sprint("gateway-", i+2), first.store.Address(), nil, dials.apply)
		beds = append(beds, &testbed{t: t, store: first.store, gateway: g, stop: stop, ended: ended})
	}
	for _, b := range beds {
		b.waitReady()
		b.wait("all gateways and the target are known", func() bool {
			view := b.gateway.state.View()
			return len(b.gateway.peers.others()) == gateways && view.Settings.Version == 2 && len(view.Targets["app"]) == 1
		})
	}
	first.wait("all have their shares", func() bool {
		return !slices.ContainsFunc(beds, func(b *testbed) bool { return b.gateway.peers.startWait(time.Now()) > 0 })
	})
	late := time.Now().Add(dialTimeout - 20*time.Millisecond)
	dials.until.Store(&late)
	served, _ := coldLoad(beds, 20*time.Millisecond, 2500*time.Millisecond)
	most := mostInASecond(target)
	assert.Assert(t, most <= allowed, "%d requests in a second, allowed %d", most, allowed)
	assert.Assert(t, served > 0)
}

func TestRequestIsNotSentByALentAdmissionThatHasExpired(t *testing.T) {
	target := platformtest.NewTarget(t, "i-1")
	b := newTestbed(t, target)
	b.wait("the process is seen to run", func() bool { return !b.gateway.suspension.recent(time.Now()) })
	for _, lent := range []time.Duration{time.Minute, -time.Millisecond} {
		sent := b.gateway.newBorrowedSending(registry.Usable{Target: fleet.Target{ID: target.ID}}, time.Now().Add(lent))
		request, err := http.NewRequestWithContext(sent.trace(t.Context()), http.MethodGet, "http://"+target.Address()+"/read/", nil)
		assert.NilError(t, err)
		answer, err := b.gateway.transport.RoundTrip(request)
		if lent > 0 {
			assert.NilError(t, err)
			assert.NilError(t, answer.Body.Close())
		}
		assert.Equal(t, err == nil, lent > 0)
		assert.Equal(t, sent.expired.Load(), lent < 0)
		assert.Equal(t, arrived(target), 1)
	}
}
