package fleet

import (
	"context"
	"net/http"
	"sync"
	"time"

	"quetzalbend/internal/app/load/caller"
)

const (
	healthInterval  = 200 * time.Millisecond
	healthTimeout   = 500 * time.Millisecond
	failuresToLeave = 2
)

// backend is one entry as the balancer sees it.
type backend struct {
	client   *caller.Client
	health   string // URL
	failures int
}

// Balancer gives callers the entries that are ready, as the platform's
// balancer does: by polling their readiness.
type Balancer struct {
	http *http.Client

	mu       sync.Mutex
	backends []*backend
	next     int
}

// NewBalancer returns a balancer without entries.
func NewBalancer() *Balancer {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	return &Balancer{http: &http.Client{Transport: transport, Timeout: healthTimeout}}
}

// Add adds an entry by the base URLs of its callers and operators listeners.
func (b *Balancer) Add(client *caller.Client, operators string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backends = append(b.backends, &backend{client: client, health: operators + "/readyz"})
}

// Run polls readiness until ctx ends.
func (b *Balancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		b.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (b *Balancer) poll(ctx context.Context) {
	var polls sync.WaitGroup
	for _, backend := range b.backends {
		polls.Go(func() {
			ready := b.ready(ctx, backend.health)
			b.mu.Lock()
			defer b.mu.Unlock()
			backend.failures++
			if ready {
				backend.failures = 0
			}
		})
	}
	polls.Wait()
}

func (b *Balancer) ready(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := b.http.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Clients returns all entries in the order in which a caller tries them: the
// ready ones first, in turn.
func (b *Balancer) Clients() []*caller.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	var ready, rest []*caller.Client
	for i := range b.backends {
		backend := b.backends[(b.next+i)%len(b.backends)]
		if backend.failures < failuresToLeave {
			ready = append(ready, backend.client)
		} else {
			rest = append(rest, backend.client)
		}
	}
	if len(ready) == 0 {
		return rest
	}
	return ready
}
