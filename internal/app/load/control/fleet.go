package control

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/adapter/link"
	client "quetzalbend/internal/adapter/platform"
	"quetzalbend/internal/app/load/checkpoint"
	"quetzalbend/internal/app/standin/platform"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/port"
	"quetzalbend/internal/settingssync"
	"quetzalbend/internal/wire"
)

const (
	appendsPerSecond  = 100_000
	readHeaderTimeout = 5 * time.Second
)

// fleet is the platform, entries and agents of one experiment.
type fleet struct {
	platform *platform.Platform
	url      string
	nodes    []*settingssync.Node
	agents   []*settingssync.Receiver
	closers  []func()
	link     link.Config

	platformLink, peerLink, agentLink meter
}

// newFleet starts the platform with settings in its log.
func newFleet(ctx context.Context, accounts int, keepAlive time.Duration) (*fleet, error) {
	f := &fleet{
		platform: platform.New(platform.Config{AppendsPerSecond: appendsPerSecond}),
		link:     link.Config{KeepAliveInterval: keepAlive},
	}
	state, err := checkpoint.Populate(ctx, f.platform.Log(), accounts)
	if err != nil {
		return nil, err
	}
	if _, err := settingssync.AppendCheckpoint(ctx, f.platform.Log(), state, "setup"); err != nil {
		return nil, err
	}
	listener, err := f.platformLink.listen()
	if err != nil {
		return nil, errors.Wrap(err, "start platform")
	}
	f.url = "http://" + listener.Addr().String()
	server := &http.Server{Handler: f.platform.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	return f, nil
}

// stop closes all servers and connection pools, the last opened first.
func (f *fleet) stop() {
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}

// serveLink serves a link on a metered listener and returns its address.
func (f *fleet) serveLink(m *meter, handler link.Handler) (string, error) {
	listener, err := m.listen()
	if err != nil {
		return "", err
	}
	server := link.NewServer(f.link, handler)
	go func() { _ = server.Serve(listener) }()
	f.closers = append(f.closers, func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
	})
	return listener.Addr().String(), nil
}

// startAgents serves the receivers of all targets and returns the agents with
// their addresses.
func (f *fleet) startAgents(targets, domains int) ([]settingssync.Agent, error) {
	agents := make([]settingssync.Agent, 0, targets)
	for i := range targets {
		name := fmt.Sprintf("target-%04d", i)
		receiver := settingssync.NewReceiver(name, name+"-1")
		addr, err := f.serveLink(&f.agentLink, receiver.Handle)
		if err != nil {
			return nil, errors.Wrapf(err, "start agent %s", name)
		}
		f.agents = append(f.agents, receiver)
		domain := domainName(i, domains)
		agents = append(agents, settingssync.Agent{
			Name: name, Addr: addr, FailureDomain: domain,
			Subtrees: func() []string { return []string{"/domains/" + domain, "/targets/" + name} },
		})
	}
	return agents, nil
}

// startNodes runs all entries with their feeders.
func (f *fleet) startNodes(ctx context.Context, group *errgroup.Group, count, domains int, agents []settingssync.Agent) error {
	peers := make([]settingssync.Peer, count)
	f.nodes = make([]*settingssync.Node, count)
	started := make(chan struct{})
	for i := range count {
		addr, err := f.serveLink(&f.peerLink, func(ctx context.Context, open *wire.Open, stream *link.Stream) {
			<-started
			f.nodes[i].HandlePeer(ctx, open, stream)
		})
		if err != nil {
			return errors.Wrapf(err, "start entry %d", i)
		}
		peers[i] = settingssync.Peer{Name: fmt.Sprintf("entry-%03d", i), Addr: addr, FailureDomain: domainName(i, domains)}
	}
	for i := range count {
		f.nodes[i] = f.newNode(peers, i)
	}
	close(started)
	listAgents := func(*settings.Snapshot) []settingssync.Agent { return agents }
	for _, node := range f.nodes {
		pool := f.newPool()
		feeder := settingssync.NewFeeder(node, pool, listAgents)
		group.Go(func() error { return node.Run(ctx) })
		group.Go(func() error { return feeder.Run(ctx) })
	}
	return nil
}

func (f *fleet) newNode(peers []settingssync.Peer, i int) *settingssync.Node {
	others := append(append([]settingssync.Peer(nil), peers[:i]...), peers[i+1:]...)
	return settingssync.NewNode(settingssync.Config{
		Name: peers[i].Name, Incarnation: peers[i].Name + "-1", FailureDomain: peers[i].FailureDomain,
		Log:  client.NewClient(client.Config{BaseURL: f.url, Node: peers[i].Name}),
		Dial: f.newPool(), Peers: others,
	})
}

func (f *fleet) newPool() *link.Pool {
	pool := link.NewPool(f.link)
	f.closers = append(f.closers, func() { _ = pool.Close() })
	return pool
}

func domainName(i, domains int) string { return fmt.Sprintf("domain-%d", i%domains) }

// awaitOffset waits until all nodes and agents have reached an offset.
func (f *fleet) awaitOffset(ctx context.Context, offset int64) error {
	for _, node := range f.nodes {
		if err := awaitSnapshot(ctx, node.Changed, node.Snapshot, offset); err != nil {
			return err
		}
	}
	for _, agent := range f.agents {
		if err := awaitSnapshot(ctx, agent.Changed, agent.Snapshot, offset); err != nil {
			return err
		}
	}
	return nil
}

func awaitSnapshot(ctx context.Context, changed func() <-chan struct{}, snapshot func() *settings.Snapshot, offset int64) error {
	for {
		next := changed()
		if s := snapshot(); s != nil && s.Offset() >= offset {
			return nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for offset %d", offset)
		}
	}
}

// lastOffset returns the last offset of the settings in the log.
func (f *fleet) lastOffset() int64 {
	return f.platform.Log().Totals()[port.SettingsStream].Next - 1
}
