package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/adapter/answers"
	"quetzalbend/internal/app/hosted"
	"quetzalbend/internal/callerconn"
	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/core/quota"
	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/drain"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/fleetsync"
	"quetzalbend/internal/metrics"
	"quetzalbend/internal/supervise"
	"quetzalbend/platform"
)

// Gateway accepts callers' requests on one VM and forwards them to targets.
type Gateway struct {
	node      fleet.Node
	log       *eventlog.Log
	store     *platform.Store
	state     *fleetsync.State
	loads     *loads
	peers     *peers
	strikes   *strike.Table
	poison    *poisonGuard
	limits    *targetLimits
	rests     *targetRests
	transport *answers.Transport
	memory    *memory.Budget
	metrics   *metrics.Registry
	requests  gometrics.Counter
	drain     *drain.Drain
	callers   *callerconn.Bounds

	suspension suspension
	borrowing  borrowing

	retriesLock sync.Mutex
	retries     map[string]*quota.RetryBudget // by service
}

const (
	dialTimeout       = 300 * time.Millisecond
	keepAliveInterval = time.Second
)

// New returns the gateway of a node.
func New(node fleet.Node, log *eventlog.Log) *Gateway {
	g := &Gateway{
		node:    node,
		log:     log,
		store:   platform.NewStore(node.StoreAddress),
		state:   fleetsync.NewState(log, time.Now, registryTiming(node)),
		loads:   newLoads(),
		memory:  memory.NewBudget(node.MemoryBytes),
		strikes: strike.NewTable(node.Name),
		metrics: metrics.New(),
		retries: make(map[string]*quota.RetryBudget),
		drain:   drain.New(drainPlan(node.GracePeriod)),
	}
	g.requests = g.metrics.Counter("requests")
	g.callers = g.newCallerBounds()
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	// Each request uses a connection of its own: on a reused connection, a late
	// or duplicate answer would be mistaken for the answer to the next request.
	g.transport = answers.NewTransport(&http.Transport{
		DialContext:            dialTarget(dialer),
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
	})
	g.peers = newPeers(g)
	g.poison = newPoisonGuard(dialer, g)
	g.limits = newTargetLimits(g.peers, log)
	g.rests = newTargetRests(log)
	return g
}

// recoveryTime is the time from the end of a cut from the store until the registry has been
// read again and what is still missing then has been dropped.
const recoveryTime = 950 * time.Millisecond

// registryTiming returns the times by which records of targets expire. What is missing after a
// cut is dropped before the gateway counts as in touch with the store again.
func registryTiming(node fleet.Node) registry.Timing {
	timing := registry.Timing{Heartbeat: node.Heartbeat, Grace: registry.GracePeriod}
	if node.Stability > recoveryTime {
		timing.Grace = min(timing.Grace, node.Stability-recoveryTime)
	}
	return timing
}

// Run runs the gateway of this node until SIGTERM, followed by the drain.
func Run(ctx context.Context) error {
	return hosted.Run(ctx, func(ctx context.Context, node fleet.Node, log *eventlog.Log) error {
		memory.LimitHeap(node.MemoryBytes)
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
	parts := &poisonStore{guard: g.poison, store: g.store, log: g.log}
	group.Go(func() error { return supervise.Loop(background, g.log, "parts in the store", parts.run, nil) })
	group.Go(func() error {
		return supervise.Loop(background, g.log, "checks of targets", g.poison.checkRepeatedly, nil)
	})
	group.Go(func() error { return supervise.Loop(background, g.log, "reloads", g.logReloads, nil) })
	group.Go(func() error { return supervise.Loop(background, g.log, "suspensions", g.watchSuspensions, nil) })
	group.Go(func() error {
		defer stop()
		return g.serve(ctx, background)
	})
	return group.Wait()
}

func (g *Gateway) watchSuspensions(ctx context.Context) error { return g.suspension.watch(ctx, g.log) }

// lead takes part in the election of the leader of map changes until SIGTERM or
// until another goroutine of run fails: a stopping gateway does not lead.
func (g *Gateway) lead(ctx, background context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(background, stop)()
	return g.newLeader().Run(ctx)
}

// logReloads logs SIGHUP. Settings that may change while a node runs are read
// from the store, so there is nothing to reload.
func (g *Gateway) logReloads(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			g.log.State("SIGHUP received, nothing to reload", nil)
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gateway) gates(now time.Time) targetGates {
	members, starting := g.peers.admissionMembers(now)
	return targetGates{admissionLimits{g.node.Bounds, members, starting}, g.limits, g.rests}
}

func (g *Gateway) serviceRetries(service string) *quota.RetryBudget {
	retries := g.retries[service]
	if retries == nil {
		b, started := g.node.Bounds, g.peers.started
		if !g.peers.ranBefore() {
			started = started.Add(-b.RetryWindow)
		}
		retries = quota.NewRetryBudget(b.RetryRatio, b.RetrySlack, b.RetryWindow, started)
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
	return g.serviceRetries(service).Allow(g.peers.gateways(), time.Now())
}

func (g *Gateway) countRefusal(reason string) { g.metrics.Refused(reason, metrics.Key{}) }

// metricsKey returns the key of the request's metrics. The metrics label a client
// account as a team.
func (x *exchange) metricsKey() metrics.Key {
	return metrics.Key{Team: x.account.Name, Class: schema.Class(x.route.Kind.String())}
}

// observeLatency records the latency of an answer that was delivered whole.
func (x *exchange) observeLatency() {
	x.gateway.metrics.Observe(metrics.Latency, x.metricsKey(), time.Since(x.arrived))
}

// observeFirstEvent records the time to the first event of a stream.
func (x *exchange) observeFirstEvent() {
	x.gateway.metrics.Observe(metrics.FirstToken, x.metricsKey(), time.Since(x.arrived))
}
