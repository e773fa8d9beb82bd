package agent

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/adapter/engine"
	"quetzalbend/internal/adapter/keys"
	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/adapter/service"
	"quetzalbend/internal/callerconn"
	"quetzalbend/internal/claimlog"
	"quetzalbend/internal/core/admission"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/metrics"
	"quetzalbend/internal/settingssync"
	"quetzalbend/internal/wire"
)

const (
	flushTimeout  = 2 * time.Second // for recording the last answers
	cancelTimeout = time.Second     // for ending the calls that are cancelled after the grace time
)

// Limits of connections for health checks and metrics.
const (
	statusHeaderBytes   = 16 << 10
	statusHeaderTimeout = 5 * time.Second
	statusIdleTimeout   = 15 * time.Second
	statusConnections   = 64
	statusRetryAfter    = time.Second
)

var errLeaving = errors.New("the target is leaving")

// Agent serves one target.
type Agent struct {
	config       Config
	incarnation  string
	registry     *metrics.Registry
	settings     *settingssync.Receiver
	keys         *keys.Keys      // nil for plain TCP
	engine       *engine.Client  // nil in front of a service
	service      *service.Client // nil in front of an engine
	claims       *claimlog.Log   // nil in front of an engine
	rank         *rankMember     // nil if the target is not a rank
	current      atomic.Pointer[catalog.Catalog]
	shuttingDown atomic.Bool // the agent is shutting down
	takenOut     atomic.Bool // the settings take the target out
	vmLeaving    atomic.Bool // the platform lists the VM as leaving
	unreachable  atomic.Bool // the engine does not answer
	stalled      atomic.Bool // the engine's streams do not advance
	gateLock     sync.Mutex  // held while the gate is closed or opened
	gate         *gate
	outcomes     *outcomes
	memory       *memory.Budget  // for calls and their answers
	work         context.Context // parent of the contexts of all calls; cancelled with errLeaving after the grace time
	stopWork     context.CancelCauseFunc
	streams      *streamDrain
}

// Run runs an agent until ctx ends and its running work has ended.
func Run(ctx context.Context, config Config) error {
	agent, err := New(config)
	if err != nil {
		return err
	}
	memory.LimitHeap(config.MemoryBytes)
	return agent.Run(ctx)
}

// New returns an agent with the configuration of its start-up file.
func New(config Config) (*Agent, error) {
	a := &Agent{config: config, incarnation: rand.Text(), registry: metrics.New(), outcomes: newOutcomes()}
	a.memory = memory.NewBudget(config.MemoryBytes)
	a.settings = settingssync.NewReceiver(config.Name, a.incarnation)
	a.work, a.stopWork = context.WithCancelCause(context.Background())
	a.streams = newStreamDrain(a.work, config.grace())
	if config.LinksTLS != nil {
		loaded, err := keys.Load(*config.LinksTLS)
		if err != nil {
			return nil, errors.Wrap(err, "links_tls")
		}
		a.keys = loaded
	}
	if config.Engine != "" {
		a.engine = engine.New(config.Engine)
		a.gate = newGate(time.Now, admission.Config{Reports: true})
	} else {
		a.service = service.New(config.Service)
		a.gate = newGate(time.Now, admission.Config{})
		a.claims = a.newClaims()
	}
	if config.Rank == nil {
		return a, nil
	}
	var err error
	a.rank, err = a.newRankMember()
	return a, err
}

// Run serves until ctx ends, then shuts down: it refuses new work, lets running
// work finish within the grace time and cancels the rest. Entries resume the
// cancelled streams at other targets.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.config.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for entries")
	}
	healthListener, err := net.Listen("tcp", a.config.HTTPListen)
	if err != nil {
		return errors.Wrap(err, "listen for health checks")
	}
	server := link.NewServer(a.linkConfig(), a.handle)
	health := &http.Server{Handler: a.statusHandler()}
	healthListener = a.statusBounds().Guard(health, healthListener)
	log.WithFields(log.Fields{"target": a.config.Name, "incarnation": a.incarnation}).Info("serving")

	group, failed := errgroup.WithContext(context.Background())
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		if err := health.Serve(healthListener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve health checks")
		}
		return nil
	})
	background, stop := context.WithCancel(context.Background())
	a.runBackground(background, group)
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
		case <-failed.Done():
		}
		a.shutDown(server)
		return errors.Wrap(health.Close(), "close health checks")
	})
	return group.Wait()
}

// runBackground starts the goroutines that run beside the calls until ctx ends.
func (a *Agent) runBackground(ctx context.Context, group *errgroup.Group) {
	if a.keys != nil {
		group.Go(func() error { return a.keys.Run(ctx) })
	}
	if a.engine != nil {
		group.Go(func() error { a.followLoad(ctx); return nil })
		group.Go(func() error { a.followOrders(ctx); return nil })
	}
	if a.claims != nil {
		group.Go(func() error { return a.claims.Run(ctx) })
	}
	group.Go(func() error { a.followSettings(ctx); return nil })
	if a.config.Platform != "" {
		group.Go(func() error { a.followVMs(ctx); return nil })
	}
}

func (a *Agent) linkConfig() link.Config {
	if a.keys == nil {
		return link.Config{}
	}
	return link.Config{TLS: a.keys.ServerConfig()}
}

// shutDown refuses new work and waits for running work, which is cancelled when
// the grace time is over. It then records the last answers.
func (a *Agent) shutDown(server *link.Server) {
	a.shuttingDown.Store(true)
	a.updateGate()
	log.WithField("target", a.config.Name).Info("leaving")
	cancelTimer := time.AfterFunc(a.config.grace(), func() { a.stopWork(errLeaving) })
	defer cancelTimer.Stop()
	wait, cancel := context.WithTimeout(context.Background(), a.config.grace()+cancelTimeout)
	defer cancel()
	if err := server.Shutdown(wait); err != nil {
		log.WithError(err).Warn("calls still running after the grace time")
	}
	if a.claims == nil {
		return
	}
	flush, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := a.claims.Flush(flush); err != nil {
		log.WithError(err).Warn("answers not recorded before exit")
	}
}

func (a *Agent) handle(ctx context.Context, open *wire.Open, stream *link.Stream) {
	switch {
	case open.GetCall() != nil:
		a.serveCall(ctx, open.GetCall(), stream)
	case open.GetAsk() != nil:
		a.serveAsk(open.GetAsk(), stream)
	case open.GetSettings() != nil:
		a.settings.Handle(ctx, open, stream)
	case open.GetStatus() != nil:
		_ = stream.Send(a.status())
	case open.GetExpertMap() != nil && a.rank != nil:
		a.rank.serve(ctx, open.GetExpertMap(), stream)
	}
}

func (a *Agent) status() *wire.TargetStatus {
	status := &wire.TargetStatus{
		Target:         a.config.Name,
		Node:           a.config.VM,
		Load:           a.load(),
		SettingsOffset: settings.NoOffset,
	}
	if snapshot := a.settings.Snapshot(); snapshot != nil {
		status.SettingsOffset = snapshot.Offset()
	}
	return status
}

func (a *Agent) load() *wire.Load {
	view := a.gate.view()
	return &wire.Load{
		Incarnation:     a.incarnation,
		Running:         int32(view.Running),
		Queued:          int32(view.Queued),
		Limit:           int32(view.Limit),
		Cold:            view.Cold,
		Leaving:         a.refusesNewWork(),
		FirstTokenMs:    inMilliseconds(view.FirstToken),
		BetweenTokensMs: inMilliseconds(view.BetweenTokens),
	}
}

// updateGauges sets the gauges to the current state.
func (a *Agent) updateGauges() {
	view := a.gate.view()
	gauges := map[string]int64{
		"target_running": int64(view.Running),
		"target_queued":  int64(view.Queued),
		"target_limit":   int64(view.Limit),
	}
	if a.claims != nil {
		gauges["claims_appends"], gauges["claims_ops"] = a.claims.Counts()
	}
	for name, value := range gauges {
		a.registry.Gauge(name).Update(value)
	}
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ready reports whether the target can take work.
func (a *Agent) ready() bool {
	if a.refusesNewWork() || a.gate.view().AwaitingReport {
		return false
	}
	return a.claims == nil || a.claims.Ready()
}

// statusBounds returns the bounds on connections for health checks and metrics.
func (a *Agent) statusBounds() *callerconn.Bounds {
	limits := callerconn.Limits{HeaderBytes: statusHeaderBytes, HeaderTimeout: statusHeaderTimeout, IdleTimeout: statusIdleTimeout}
	return &callerconn.Bounds{
		Limits:      func() callerconn.Limits { return limits },
		Descriptors: statusConnections, Memory: a.memory, RetryAfter: statusRetryAfter,
		Ended: func(reason callerconn.Reason, _ string) { a.registry.Refused(string(reason), metrics.Key{}) },
	}
}

func (a *Agent) statusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		a.updateGauges()
		a.registry.Handler().ServeHTTP(w, r)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !a.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
