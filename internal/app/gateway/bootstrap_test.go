package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/platform/platformtest"
)

// delayedStore returns the address of a store whose answers take a time longer.
func delayedStore(t *testing.T, store *platformtest.Store, delay time.Duration) string {
	t.Helper()
	address, err := url.Parse("http://" + store.Address())
	assert.NilError(t, err)
	forward := httputil.NewSingleHostReverseProxy(address)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-time.After(delay)
		forward.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// None has a record in the store yet, which takes 60 ms to answer.
func TestColdTargetGetsNoMoreThanItsBoundFromNewGatewaysThatStartTogether(t *testing.T) {
	const gateways, perSecond, allowed = 34, 14, 26
	store, target := platformtest.NewStore(t), platformtest.NewTarget(t, "i-1")
	store.PutJSON(t, "keyed.op", "config", coldSettings(1, perSecond))
	store.PutJSON(t, "keyed.servers", target.ID, targetRecord(target, nil))
	address := delayedStore(t, store, 60*time.Millisecond)
	var callers sync.WaitGroup
	for i := range gateways {
		g, stop, ended := startGateway(t, fmt.Sprint("gateway-", i+1), address, nil)
		b := &testbed{t: t, store: store, gateway: g, stop: stop, ended: ended}
		callers.Go(func() {
			b.wait("it listens", func() bool { return b.health() > 0 })
			coldLoad([]*testbed{b}, 10*time.Millisecond, 3*time.Second)
		})
	}
	callers.Wait()
	most := mostInASecond(target)
	assert.Assert(t, most <= allowed, "%d requests in a second, allowed %d", most, allowed)
	assert.Assert(t, arrived(target) > 0)
}
