package entry

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/adapter/callerhttp"
	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/adapter/platform"
	"quetzalbend/internal/core/limits"
	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/core/poison"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/dispatch"
	"quetzalbend/internal/drain"
	"quetzalbend/internal/metrics"
	"quetzalbend/internal/settingssync"
)

// outcomePollInterval is the time between two requests for the outcome of a call.
const outcomePollInterval = 100 * time.Millisecond

// unknownOutcomeTimeout is how long agents may take to read what another agent has
// appended to the log about a call.
const unknownOutcomeTimeout = time.Second

// noRetryCodes are the codes of refusals that any other agent would repeat.
var noRetryCodes = map[string]struct{}{
	"bad_call":       {},
	"key_reused":     {},
	"key_expired":    {},
	"key_from_ahead": {},
}

// agentDialTimeout limits connecting to an agent or another entry, which is a
// few milliseconds away.
const agentDialTimeout = 500 * time.Millisecond

// Entry is one entry with its listeners.
type Entry struct {
	cfg             Config
	tables          *tables
	health          *health
	drain           *drain.Drain // of the callers' server
	registry        *metrics.Registry
	security        *security
	pool            *link.Pool
	platform        *platform.Client
	strikes         *strike.Table
	poison          *poison.Table
	limits          *limits.Limiter
	permits         *permits
	exchange        *exchanger
	node            *settingssync.Node
	feeder          *settingssync.Feeder
	settingsMetrics gometrics.Registry // metrics of node
	memory          *memory.Budget     // for callers' requests and their answers

	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

// Run runs an entry until ctx ends and the entry has left.
func Run(ctx context.Context, cfg Config) error {
	e, err := New(cfg)
	if err != nil {
		return err
	}
	memory.LimitHeap(cfg.MemoryBytes)
	return e.Run(ctx)
}

// New builds an entry and opens its listeners.
func New(cfg Config) (*Entry, error) {
	table := &tables{cfg: cfg.routing(), states: routing.NewStates()}
	incarnation := rand.Text()
	security, err := loadSecurity(cfg)
	if err != nil {
		return nil, err
	}
	links, err := security.clientLinkConfig(cfg.DialFrom)
	if err != nil {
		return nil, errors.Wrap(err, "links_tls")
	}
	e := &Entry{
		cfg:             cfg,
		tables:          table,
		health:          &health{tables: table},
		drain:           drain.New(cfg.drainPlan()),
		registry:        metrics.New(),
		memory:          memory.NewBudget(cfg.MemoryBytes),
		pool:            link.NewPool(links),
		security:        security,
		platform:        platform.NewClient(platform.Config{BaseURL: cfg.Platform, Node: cfg.Name}),
		strikes:         strike.NewTable(cfg.Name + "/" + incarnation),
		poison:          poison.NewTable(),
		limits:          limits.New(limitsConfig(cfg.Name, len(cfg.Peers))),
		settingsMetrics: gometrics.NewRegistry(),
	}
	e.limits.SetPeers(time.Now(), cfg.peerNames())
	peerPool := link.NewPool(exchangeLinkConfig(links))
	e.permits = &permits{
		name:     cfg.Name,
		peers:    cfg.Peers,
		pool:     peerPool,
		limits:   e.limits,
		catalog:  table.catalog,
		registry: e.registry,
	}
	e.exchange = &exchanger{
		name:        cfg.Name,
		incarnation: incarnation,
		peers:       cfg.Peers,
		pool:        peerPool,
		permits:     e.permits,
		limits:      e.limits,
		strikes:     e.strikes,
		poison:      e.poison,
		round:       roundTime(len(cfg.Peers)),
		strikeAdded: make(chan struct{}, 1),
	}
	e.node = settingssync.NewNode(settingssync.Config{
		Name:           cfg.Name,
		Incarnation:    incarnation,
		FailureDomain:  cfg.FailureDomain,
		Log:            e.platform,
		Dial:           e.pool,
		NewPool:        func() settingssync.Pool { return link.NewPool(links) },
		Peers:          cfg.Peers,
		Registry:       e.settingsMetrics,
		HandlePeerSync: e.exchange.receive,
	})
	e.feeder = settingssync.NewFeeder(e.node, e.pool, table.agents)
	return e, e.listen()
}

// listen opens all listeners. If one cannot be opened it closes the others.
func (e *Entry) listen() error {
	var opened []net.Listener
	for _, listener := range []struct {
		addr string
		into *net.Listener
	}{
		{e.cfg.CallersListen, &e.callers},
		{e.cfg.OperatorsListen, &e.operators},
		{e.cfg.PeersListen, &e.peers},
	} {
		var err error
		if *listener.into, err = net.Listen("tcp", listener.addr); err != nil {
			for _, other := range opened {
				_ = other.Close()
			}
			return errors.Wrapf(err, "listen on %s", listener.addr)
		}
		opened = append(opened, *listener.into)
	}
	return nil
}

// CallersAddr returns the address of the callers' listener.
func (e *Entry) CallersAddr() string { return e.callers.Addr().String() }

// OperatorsAddr returns the address of the operators' listener.
func (e *Entry) OperatorsAddr() string { return e.operators.Addr().String() }

// PeersAddr returns the address of the listener for other entries.
func (e *Entry) PeersAddr() string { return e.peers.Addr().String() }

// Run serves until ctx ends and then leaves: /readyz fails, requests are still
// served for the notice time, and running ones finish within the grace time.
func (e *Entry) Run(ctx context.Context) error {
	defer func() { _, _ = e.pool.Close(), e.exchange.pool.Close() }()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	callers := e.newCallersServer(work)
	operators := e.newOperatorsServer()
	peers := link.NewServer(e.security.serverLinkConfig(), e.servePeer)

	group.Go(func() error {
		limited := callerhttp.LimitListener(e.callers, int(e.cfg.Bounds.Connections))
		return serveError(serveHTTP(callers, limited, e.security.callers, "h2", "http/1.1"), "callers")
	})
	if e.security.operators == nil {
		e.operators = e.operatorsBounds().Guard(operators, e.operators)
	}
	group.Go(func() error {
		return serveError(serveHTTP(operators, e.operators, e.security.operators, "http/1.1"), "operators")
	})
	group.Go(func() error { return peers.Serve(e.peers) })
	group.Go(func() error { return e.security.run(work) })
	group.Go(func() error { return e.node.Run(work) })
	group.Go(func() error { return e.feeder.Run(work) })
	group.Go(func() error { return e.exchange.run(work) })
	group.Go(func() error { return e.permits.run(work) })
	group.Go(func() error { return publishSettings(work, e.node, e.tables) })
	group.Go(func() error { return e.watchVMs(work) })
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		e.leave(work, callers)
		_ = operators.Close()
		_ = peers.Shutdown(stopped)
		stop()
		return nil
	})
	log.WithField("callers", e.CallersAddr()).WithField("operators", e.OperatorsAddr()).Info("entry serving")
	return group.Wait()
}

func (e *Entry) newCallersServer(ctx context.Context) *http.Server {
	limiter := newLimiter(e.limits)
	limiter.permits = e.permits
	server := callerhttp.NewServer(callerhttp.Config{
		Bounds:     e.cfg.Bounds.callers(),
		Memory:     e.memory,
		Tables:     e.tables,
		Dispatcher: e.newDispatcher(),
		Limiter:    limiter,
		Recorder:   newRecorder(e.registry),
		Leaving:    e.health.isLeaving,
		Drain:      e.drain,
	})
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	return server
}

func (e *Entry) newDispatcher() *dispatch.Dispatcher {
	r := e.cfg.Routing
	return dispatch.New(dispatch.Config{
		Entry:             e.cfg.Name,
		Links:             links{e.pool},
		Strategy:          r.strategy(),
		Strikes:           e.strikes,
		Poison:            e.poison,
		Counter:           newRecorder(e.registry),
		OnStrike:          e.exchange.notifyStrike,
		OnCrash:           e.exchange.notify,
		QueryInterval:     outcomePollInterval,
		UnknownTimeout:    unknownOutcomeTimeout,
		NoRetryCodes:      noRetryCodes,
		FirstFrameTimeout: milliseconds(r.FirstFrameMS),
		StallTimeout:      milliseconds(r.StallMS),
		AvoidPeriod:       milliseconds(r.AvoidMS),
		AnswerBytes:       int(e.cfg.Bounds.AnswerBytes),
	})
}

func (c Config) routing() routing.Config {
	return routing.Config{
		Entry:         c.Name,
		FailureDomain: c.FailureDomain,
		NearSubset:    int(c.Routing.NearSubset),
		FarSubset:     int(c.Routing.FarSubset),
	}
}

func (r Routing) strategy() routing.Strategy {
	switch r.Strategy {
	case StrategyLeastOutstanding:
		return routing.LeastOutstanding{}
	case StrategyOwnOutstanding:
		return routing.OwnOutstanding{}
	case StrategyRoundRobin:
		return &routing.RoundRobin{}
	}
	return routing.Affinity{Fallback: routing.LeastOutstanding{}}
}

func (b Bounds) callers() callerhttp.Bounds {
	return callerhttp.Bounds{
		HeaderBytes:   int(b.HeaderBytes),
		BodyBytes:     b.BodyBytes,
		HeaderTimeout: milliseconds(b.HeaderTimeoutMS),
		BodyTimeout:   milliseconds(b.BodyTimeoutMS),
		WriteTimeout:  milliseconds(b.WriteTimeoutMS),
		IdleTimeout:   milliseconds(b.IdleTimeoutMS),
		Connections:   int(b.Connections),
	}
}

func serveError(err error, listener string) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", listener)
}
