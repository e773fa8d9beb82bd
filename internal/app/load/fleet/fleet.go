package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/app/load/caller"
	"quetzalbend/internal/app/standin/engine"
	"quetzalbend/internal/app/standin/platform"
)

const (
	loopback          = "127.0.0.1:0"
	idleConnsPerEntry = 1024
)

// Names and tokens in the fleet's settings.
const (
	Team          = "team"
	Drafts        = "drafts"  // workload of the class interactive
	Batch         = "batch"   // workload of the class batch
	ServiceName   = "records" // GET /status is idempotent, POST /confirm is not
	OtherToken    = "other"   // bearer token of a second account of the team
	modelName     = "model"
	accountToken  = "account"
	operatorToken = "operator"
)

// Config configures a fleet. Numbers are for each failure domain.
type Config struct {
	Domains   []string
	Entries   int
	Engines   int
	Services  int
	Engine    engine.Config
	MaxLimit  int    // concurrent requests of a warm engine
	Queue     int    // maximum number of requests that wait at an agent
	Strategy  string // routing strategy of the entries
	Admission bool   // whether agents limit the concurrent requests of a target and queue the others
}

// Fleet is a running fleet.
type Fleet struct {
	Engines  []*Engine
	Services []*Service
	Balancer *Balancer

	cfg         Config
	ctx         context.Context
	stop        context.CancelFunc
	group       *errgroup.Group
	network     *Network
	dialFrom    map[string]string // by domain
	platform    *platform.Platform
	platformURL string
	agents      []*agentProcess
	entries     []*entryProcess
	settings    *settingsWriter
	port        atomic.Uint32 // counter from which freeAddress takes the next port
}

// Start starts a fleet. Its context bounds the start only.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, network: NewNetwork(), dialFrom: make(map[string]string), Balancer: NewBalancer()}
	f.port.Store(rand.Uint32N(lastPort - firstPort))
	running, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.group, f.ctx = errgroup.WithContext(running)
	for _, domain := range cfg.Domains {
		f.dialFrom[domain] = f.network.AddDomain(domain)
	}
	for _, step := range []func(context.Context) error{
		f.startStandins, f.startAgents, f.startEntries, f.putSettings, f.awaitReady,
	} {
		if err := step(ctx); err != nil {
			return nil, errors.Wrap(errors.WithMessage(err, fmt.Sprint(f.Close())), "start fleet")
		}
	}
	f.group.Go(func() error { return f.Balancer.Run(f.ctx) })
	return f, nil
}

// Close stops the fleet without a graceful shutdown and waits until it has ended.
func (f *Fleet) Close() error {
	f.stop()
	f.network.Close()
	err := f.group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// name returns the name of a node or target, from its prefix and number.
func (f *Fleet) name(kind string, number int) string { return fmt.Sprintf("%s%02d", kind, number) }

// newClient returns a client that sends requests to the entry at a base URL.
func newClient(url string) *caller.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnsPerEntry, DisableCompression: true}
	return &caller.Client{BaseURL: url, Token: accountToken, HTTP: &http.Client{Transport: transport}}
}
