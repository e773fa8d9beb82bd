package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/adapter/engine"
	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/adapter/service"
	"quetzalbend/internal/wire"
)

const (
	incarnationSize   = 8 // bytes
	readHeaderTimeout = 5 * time.Second
	handBackTime      = time.Second // for streams handed back after the grace
)

var errLeaving = errors.New("the target is leaving")

// Agent serves one target.
type Agent struct {
	config      Config
	incarnation string
	engine      *engine.Client  // nil in front of a service
	service     *service.Client // nil in front of an engine
	leaving     atomic.Bool
	running     atomic.Int32
	work        context.Context // of all calls; ends with errLeaving after the grace
	stopWork    context.CancelCauseFunc
}

// New returns an agent by its start-up file.
func New(config Config) (*Agent, error) {
	id := make([]byte, incarnationSize)
	if _, err := rand.Read(id); err != nil {
		return nil, errors.Wrap(err, "choose incarnation")
	}
	a := &Agent{config: config, incarnation: hex.EncodeToString(id)}
	a.work, a.stopWork = context.WithCancelCause(context.Background())
	if config.Engine != "" {
		a.engine = engine.New(config.Engine)
	} else {
		a.service = service.New(config.Service)
	}
	return a, nil
}

// Run serves until ctx ends, then leaves: it refuses new work, lets running
// work finish within the grace and hands the rest back.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.config.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for entries")
	}
	status, err := net.Listen("tcp", a.config.HTTPListen)
	if err != nil {
		return errors.Wrap(err, "listen for health checks")
	}
	server := link.NewServer(link.Config{}, a.handle)
	health := &http.Server{Handler: a.statusHandler(), ReadHeaderTimeout: readHeaderTimeout}
	log.WithFields(log.Fields{"target": a.config.Name, "incarnation": a.incarnation}).Info("serving")

	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		if err := health.Serve(status); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve health checks")
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		a.leave(server)
		return errors.Wrap(health.Close(), "close health checks")
	})
	return group.Wait()
}

// leave refuses new work and waits for running work.
func (a *Agent) leave(server *link.Server) {
	a.leaving.Store(true)
	log.WithField("target", a.config.Name).Info("leaving")
	handBack := time.AfterFunc(a.config.grace(), func() { a.stopWork(errLeaving) })
	defer handBack.Stop()
	wait, cancel := context.WithTimeout(context.Background(), a.config.grace()+handBackTime)
	defer cancel()
	if err := server.Shutdown(wait); err != nil {
		log.WithError(err).Warn("left with running work")
	}
}

func (a *Agent) handle(ctx context.Context, open *wire.Open, stream *link.Stream) {
	switch {
	case open.GetCall() != nil:
		a.serveCall(ctx, open.GetCall(), stream)
	case open.GetStatus() != nil:
		_ = stream.Send(a.status())
	}
}

func (a *Agent) status() *wire.TargetStatus {
	return &wire.TargetStatus{Target: a.config.Name, Node: a.config.VM, Load: a.load()}
}

func (a *Agent) load() *wire.Load {
	return &wire.Load{
		Incarnation: a.incarnation,
		Running:     a.running.Load(),
		Leaving:     a.leaving.Load(),
	}
}

func (a *Agent) statusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if a.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
