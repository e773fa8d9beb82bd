package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/app/load/caller"
)

func TestBalancerLeavesOutEntriesThatAreNotReady(t *testing.T) {
	var down atomic.Bool
	flaky := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer flaky.Close()
	steady := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer steady.Close()
	b := NewBalancer()
	one, two := &caller.Client{}, &caller.Client{}
	b.Add(one, flaky.URL)
	b.Add(two, steady.URL)
	assert.Equal(t, len(b.Clients()), 2)
	down.Store(true)
	b.poll(context.Background())
	assert.Equal(t, len(b.Clients()), 2) // one failure may be chance
	b.poll(context.Background())
	assert.DeepEqual(t, b.Clients(), []*caller.Client{two})
	down.Store(false)
	b.poll(context.Background())
	assert.Equal(t, len(b.Clients()), 2)
}
