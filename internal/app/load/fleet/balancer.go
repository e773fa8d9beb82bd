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
	healthInterval     = 200 * time.Millisecond
	healthTimeout      = 500 * time.Millisecond
	unhealthyThreshold = 2 // consecutive failed polls
)

// backend is one entry as the balancer sees it.
type backend struct {
	host      string // address of its callers listener
	health    string // URL of its readiness check
	transport *http.Transport

	failures    int                // consecutive polls that did not find it ready
	alive       context.Context    // cancelled when it no longer answers polls at all
	cancelAlive context.CancelFunc // cancels alive
}

// Balancer is a load balancer in front of the entries that behaves like the
// platform's: it polls their readiness, sends each request to a ready one, and
// aborts the requests at an entry that no longer answers polls. It is an
// http.RoundTripper.
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
	added.alive, added.cancelAlive = context.WithCancel(context.Background())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backends = append(b.backends, added)
}

// Clients returns the clients that a caller tries in turn: a single one, whose
// requests the balancer distributes over the ready entries.
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

// Close closes the body and calls release.
func (r *releasedBody) Close() error {
	defer r.release()
	return r.ReadCloser.Close()
}

// choose returns the next ready entry in turn, or the next entry if none is
// ready, with its alive context.
func (b *Balancer) choose() (*backend, context.Context, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.backends) == 0 {
		return nil, nil, errors.New("load balancer has no entries")
	}
	b.next++
	for i := range b.backends {
		candidate := b.backends[(b.next+i)%len(b.backends)]
		if candidate.failures < unhealthyThreshold {
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

// poll checks the readiness of all entries once.
func (b *Balancer) poll(ctx context.Context) {
	var polls sync.WaitGroup
	for _, polled := range b.backends {
		polls.Go(func() {
			status := b.status(ctx, polled.health)
			b.mu.Lock()
			defer b.mu.Unlock()
			polled.recordPoll(status)
		})
	}
	polls.Wait()
}

// recordPoll updates the state of an entry with the HTTP status of a poll, 0 for
// no answer.
func (b *backend) recordPoll(status int) {
	if status == http.StatusOK {
		b.failures = 0
		if b.alive.Err() != nil {
			b.alive, b.cancelAlive = context.WithCancel(context.Background())
		}
		return
	}
	b.failures++
	if status == 0 && b.failures >= unhealthyThreshold {
		b.cancelAlive()
	}
}

// status returns the HTTP status of a URL, or 0 if there is no answer.
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
