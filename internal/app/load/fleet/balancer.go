package fleet

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/app/load/caller"
)

const (
	healthInterval  = 200 * time.Millisecond
	healthTimeout   = 500 * time.Millisecond
	failuresToLeave = 2 // polls in a row
)

// backend is one entry as the balancer sees it.
type backend struct {
	host      string // of its callers listener
	health    string // URL of its readiness
	transport *http.Transport

	failures int                // polls in a row that did not find it ready
	alive    context.Context    // ends when it no longer answers polls at all
	die      context.CancelFunc // ends alive
}

// Balancer stands before the entries as the platform's balancer does: it polls
// their readiness, gives each request to a ready one, and breaks the requests
// of an entry that no longer answers. It is an http.RoundTripper.
type Balancer struct {
	http *http.Client

	mu       sync.Mutex
	backends []*backend
	next     int
}

// NewBalancer returns a balancer without entries.
func NewBalancer() *Balancer {
	return &Balancer{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: healthTimeout}}
}

// Add adds an entry by the address of its callers listener and the base URL of
// its operators listener.
func (b *Balancer) Add(callers, operators string) {
	added := &backend{
		host:      callers,
		health:    operators + "/readyz",
		transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerEntry, DisableCompression: true},
	}
	added.alive, added.die = context.WithCancel(context.Background())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backends = append(b.backends, added)
}

// Clients returns the clients that a caller tries in turn: the balancer alone,
// which gives each attempt to a ready entry.
func (b *Balancer) Clients() []*caller.Client {
	return []*caller.Client{{BaseURL: "http://balancer", Token: accountToken, HTTP: &http.Client{Transport: b}}}
}

// RoundTrip sends a request to a ready entry.
func (b *Balancer) RoundTrip(request *http.Request) (*http.Response, error) {
	chosen, alive, err := b.choose()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(request.Context())
	stop := context.AfterFunc(alive, cancel)
	release := func() {
		stop()
		cancel()
	}
	sent := request.Clone(ctx)
	sent.URL.Host = chosen.host
	response, err := chosen.transport.RoundTrip(sent)
	if err != nil {
		release()
		return nil, err
	}
	response.Body = &releasedBody{ReadCloser: response.Body, release: release}
	return response, nil
}

// releasedBody is a body that calls release when it is closed.
type releasedBody struct {
	io.ReadCloser
	release func()
}

// Close closes the body.
func (r *releasedBody) Close() error {
	defer r.release()
	return r.ReadCloser.Close()
}

// choose returns the next ready entry, or the next one if none is ready.
func (b *Balancer) choose() (*backend, context.Context, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.backends) == 0 {
		return nil, nil, errors.New("the balancer has no entries")
	}
	b.next++
	for i := range b.backends {
		candidate := b.backends[(b.next+i)%len(b.backends)]
		if candidate.failures < failuresToLeave {
			return candidate, candidate.alive, nil
		}
	}
	chosen := b.backends[b.next%len(b.backends)]
	return chosen, chosen.alive, nil
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
	for _, polled := range b.backends {
		polls.Go(func() {
			status := b.status(ctx, polled.health)
			b.mu.Lock()
			defer b.mu.Unlock()
			polled.note(status)
		})
	}
	polls.Wait()
}

// note takes in the status of a poll, 0 for no answer.
func (e *backend) note(status int) {
	if status == http.StatusOK {
		e.failures = 0
		if e.alive.Err() != nil {
			e.alive, e.die = context.WithCancel(context.Background())
		}
		return
	}
	e.failures++
	if status == 0 && e.failures >= failuresToLeave {
		e.die()
	}
}

// status returns the status of a URL, or 0 if nothing answers.
func (b *Balancer) status(ctx context.Context, url string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	response, err := b.http.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (b *Balancer) ready(ctx context.Context, url string) bool {
	return b.status(ctx, url) == http.StatusOK
}
