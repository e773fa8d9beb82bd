package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// addEntry adds an entry to the balancer that serves callers and answers
// readiness polls with the returned status; at status 0 it breaks the connection.
func addEntry(t *testing.T, b *Balancer, callers http.HandlerFunc) (status *atomic.Int64, host string) {
	t.Helper()
	status = &atomic.Int64{}
	status.Store(http.StatusOK)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != "/readyz":
			callers(w, r)
		case status.Load() == 0:
			panic(http.ErrAbortHandler)
		default:
			w.WriteHeader(int(status.Load()))
		}
	}))
	t.Cleanup(server.Close)
	host = strings.TrimPrefix(server.URL, "http://")
	b.Add(host, server.URL)
	return status, host
}

func TestBalancerSkipsEntriesThatAreNotReady(t *testing.T) {
	b := NewBalancer()
	flaky, host := addEntry(t, b, nil)
	_, steady := addEntry(t, b, nil)
	chosen := func() map[string]bool {
		hosts := make(map[string]bool)
		for range 4 {
			backend, _, err := b.choose()
			assert.NilError(t, err)
			hosts[backend.host] = true
		}
		return hosts
	}
	flaky.Store(http.StatusServiceUnavailable)
	b.poll(context.Background())
	assert.DeepEqual(t, chosen(), map[string]bool{host: true, steady: true}) // one failed poll is not enough
	b.poll(context.Background())
	assert.DeepEqual(t, chosen(), map[string]bool{steady: true})
	flaky.Store(http.StatusOK)
	b.poll(context.Background())
	assert.DeepEqual(t, chosen(), map[string]bool{host: true, steady: true})
}

func TestBalancerAbortsRequestsAtAnEntryThatDoesNotAnswer(t *testing.T) {
	for status, breaks := range map[int64]bool{http.StatusServiceUnavailable: false, 0: true} {
		b := NewBalancer()
		running, release := make(chan struct{}), make(chan struct{})
		ready, _ := addEntry(t, b, func(http.ResponseWriter, *http.Request) {
			close(running)
			<-release
		})
		done := make(chan error, 1)
		go func() {
			response, err := b.Clients()[0].HTTP.Get("http://balancer/v1/models")
			if err == nil {
				err = response.Body.Close()
			}
			done <- err
		}()
		<-running
		ready.Store(status)
		for range unhealthyThreshold {
			b.poll(context.Background())
		}
		if breaks {
			assert.Assert(t, <-done != nil)
			close(release)
		} else { // it gets no new requests and finishes those that run
			close(release)
			assert.NilError(t, <-done)
		}
	}
}
