package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/app/hosted"
	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/quota"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/fleetsync"
	"quetzalbend/internal/metrics"
	"quetzalbend/platform"
)

// Gateway serves callers on one VM.
type Gateway struct {
	node      fleet.Node
	log       *eventlog.Log
	store     *platform.Store
	state     *fleetsync.State
	loads     *loads
	peers     *peers
	strikes   *strike.Table
	transport *http.Transport
	metrics   *metrics.Registry
	requests  gometrics.Counter
	stopping  atomic.Int64 // time of SIGTERM in Unix nanoseconds; 0: none

	suspension suspension

	retriesLock sync.Mutex
	retries     map[string]*quota.RetryBudget // by service
}

const (
	dialTimeout    = 300 * time.Millisecond
	keepAliveProbe = time.Second
)

// New returns the gateway of a node.
func New(node fleet.Node, log *eventlog.Log) *Gateway {
	g := &Gateway{
		node:    node,
		log:     log,
		store:   platform.NewStore(node.StoreAddress),
		state:   fleetsync.NewState(log, time.Now),
		loads:   newLoads(),
		strikes: strike.NewTable(node.Name),
		metrics: metrics.New(),
		retries: make(map[string]*quota.RetryBudget),
	}
	g.requests = g.metrics.Counter("requests")
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveProbe}
	// Each request has a connection of its own: an answer that comes late or
	// twice on a kept connection would meet another request.
	g.transport = &http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	g.peers = newPeers(g)
	return g
}

// Run runs the gateway of this node until SIGTERM.
func Run(ctx context.Context) error {
	return hosted.Run(ctx, func(ctx context.Context, node fleet.Node, log *eventlog.Log) error {
		return New(node, log).run(ctx)
	})
}

func (g *Gateway) run(ctx context.Context) error {
	g.log.State("started", eventlog.Fields{"node": g.node.Name, "domain": g.node.Domain, "callers": g.node.CallerAddress})
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	follower := &fleetsync.Follower{Store: g.store, Peers: g.peers, State: g.state, Log: g.log}
	group.Go(func() error { return follower.Run(background) })
	group.Go(func() error { return g.peers.run(background) })
	group.Go(func() error { return g.lead(ctx, background) })
	group.Go(func() error { return g.watchReload(background) })
	group.Go(func() error { return g.suspension.watch(background, g.log) })
	group.Go(func() error {
		defer stop()
		return g.serve(ctx, background)
	})
	return group.Wait()
}

// lead takes part in the leadership of maps until SIGTERM, or until a part of
// the gateway has failed: a stopping gateway does not lead.
func (g *Gateway) lead(ctx, background context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(background, stop)()
	return g.leader().Run(ctx)
}

// watchReload notes SIGHUP. The settings that may change while a node runs are
// read from the store, so there is nothing to load again.
func (g *Gateway) watchReload(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			g.log.State("settings file changed", nil)
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gateway) draining() bool { return g.stopping.Load() != 0 }

func (g *Gateway) admissionLimits() admissionLimits {
	return admissionLimits{bounds: g.node.Bounds, gateways: g.peers.assumed()}
}

func (g *Gateway) serviceRetries(service string) *quota.RetryBudget {
	retries := g.retries[service]
	if retries == nil {
		b := g.node.Bounds
		retries = quota.NewRetryBudget(b.RetryRatio, b.RetrySlack, b.RetryWindow, g.peers.assumed())
		g.retries[service] = retries
	}
	return retries
}

func (g *Gateway) countRequest(service string) {
	g.retriesLock.Lock()
	defer g.retriesLock.Unlock()
	g.serviceRetries(service).RecordRequest(time.Now())
}

func (g *Gateway) takeRetry(service string) bool {
	g.retriesLock.Lock()
	defer g.retriesLock.Unlock()
	return g.serviceRetries(service).Allow(time.Now())
}

func (g *Gateway) refused(reason string) { g.metrics.Refused(reason, metrics.Key{}) }

func (x *exchange) metricsKey() metrics.Key {
	return metrics.Key{Team: x.account.Name, Class: schema.Class(x.route.Kind.String())}
}

// answered counts a whole answer that the caller has.
func (x *exchange) answered() {
	x.gateway.metrics.Observe(metrics.Latency, x.metricsKey(), time.Since(x.arrived))
}

// firstEvent counts the start of a stream.
func (x *exchange) firstEvent() {
	x.gateway.metrics.Observe(metrics.FirstToken, x.metricsKey(), time.Since(x.arrived))
}
