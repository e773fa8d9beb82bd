package entry

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/adapter/callerhttp"
	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/adapter/platform"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/dispatch"
	"quetzalbend/internal/metrics"
)

// Entry is one entry with its listeners.
type Entry struct {
	cfg      Config
	tables   *tables
	health   *health
	registry *metrics.Registry
	pool     *link.Pool
	platform *platform.Client
	strikes  *strike.Table

	callers   net.Listener
	operators net.Listener
}

// Run runs an entry until ctx ends and it has left.
func Run(ctx context.Context, cfg Config) error {
	e, err := New(cfg)
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

// New composes an entry and opens its listeners.
func New(cfg Config) (*Entry, error) {
	table := &tables{
		cfg: routing.Config{
			Entry:         cfg.Name,
			FailureDomain: cfg.FailureDomain,
			NearSubset:    int(cfg.Routing.NearSubset),
			FarSubset:     int(cfg.Routing.FarSubset),
		},
		states: routing.NewStates(),
	}
	e := &Entry{
		cfg:      cfg,
		tables:   table,
		health:   &health{tables: table},
		registry: metrics.New(),
		pool:     link.NewPool(link.Config{}),
		platform: platform.NewClient(platform.Config{BaseURL: cfg.Platform, Node: cfg.Name}),
		strikes:  strike.NewTable(cfg.Name + "/" + rand.Text()),
	}
	var err error
	if e.callers, err = listen(cfg.CallersListen); err != nil {
		return nil, err
	}
	if e.operators, err = listen(cfg.OperatorsListen); err != nil {
		_ = e.callers.Close()
		return nil, err
	}
	return e, nil
}

func listen(addr string) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	return listener, errors.Wrapf(err, "listen on %s", addr)
}

// CallersAddr returns the address of the callers' listener.
func (e *Entry) CallersAddr() string { return e.callers.Addr().String() }

// OperatorsAddr returns the address of the operators' listener.
func (e *Entry) OperatorsAddr() string { return e.operators.Addr().String() }

// Run serves until ctx ends and then leaves: /readyz fails, requests are still
// served for the notice time, and running ones finish within the grace time.
func (e *Entry) Run(ctx context.Context) error {
	defer func() { _ = e.pool.Close() }()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	callers := e.newCallersServer(work)
	operators := newOperatorsServer(e.health, e.registry)

	group.Go(func() error {
		limited := callerhttp.LimitListener(e.callers, int(e.cfg.Bounds.Connections))
		return served(callers.Serve(limited), "callers")
	})
	group.Go(func() error { return served(operators.Serve(e.operators), "operators") })
	group.Go(func() error { return follow(work, e.platform, e.tables.publish) })
	group.Go(func() error { return watchVMs(work, e.platform, e.tables) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		e.leave(work, callers)
		_ = operators.Close()
		stop()
		return nil
	})
	log.WithField("callers", e.CallersAddr()).WithField("operators", e.OperatorsAddr()).Info("entry serves")
	return group.Wait()
}

func (e *Entry) newCallersServer(ctx context.Context) *http.Server {
	server := callerhttp.NewServer(callerhttp.Config{
		Bounds:     e.cfg.Bounds.callers(),
		Tables:     e.tables,
		Dispatcher: e.newDispatcher(),
		Recorder:   recorder{e.registry},
		Leaving:    e.health.leaving.Load,
	}, nil)
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	return server
}

func (e *Entry) newDispatcher() *dispatch.Dispatcher {
	r := e.cfg.Routing
	return dispatch.New(dispatch.Config{
		Entry:       e.cfg.Name,
		Links:       links{e.pool},
		Strategy:    r.strategy(),
		Strikes:     e.strikes,
		Counter:     recorder{e.registry},
		FirstFrame:  milliseconds(r.FirstFrameMS),
		Stall:       milliseconds(r.StallMS),
		Avoid:       milliseconds(r.AvoidMS),
		AnswerBytes: int(e.cfg.Bounds.AnswerBytes),
	})
}

func (r Routing) strategy() routing.Strategy {
	switch r.Strategy {
	case StrategyLeastOutstanding:
		return routing.LeastOutstanding{}
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

func served(err error, listener string) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", listener)
}
