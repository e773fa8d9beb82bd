package settingssync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/core/logera"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/port"
	"quetzalbend/internal/wire"
)

// Defaults of Config.
const (
	DefaultReadWait           = 2 * time.Second
	DefaultRetryDelay         = 200 * time.Millisecond
	DefaultCheckpointInterval = 6 * time.Hour
	DefaultPeerInterval       = 2 * time.Second
)

// Peer is another entry with which a node exchanges settings.
type Peer struct {
	Name          string `json:"name"`
	Addr          string `json:"addr"` // IP address and port
	FailureDomain string `json:"failure_domain"`
}

// Config configures a Node. Zero durations mean the default.
type Config struct {
	Name               string
	Incarnation        string
	FailureDomain      string
	Log                port.Log
	Dial               Dialer      // to peers; nil for no exchange with peers
	NewPool            func() Pool // returns a pool for asking all peers at the start; nil to use Dial
	Peers              []Peer      // other entries of all failure domains
	Registry           metrics.Registry
	ReadWait           time.Duration // of one read of the log
	RetryDelay         time.Duration // after a failed read or append
	CheckpointInterval time.Duration // between checkpoints; well below the log's retention
	PeerInterval       time.Duration // between exchanges with peers

	// FillPeerSync adds data to each message that is sent to a peer, and
	// HandlePeerSync reads each message that comes from one. Either may be nil.
	FillPeerSync   func(*wire.PeerSync)
	HandlePeerSync func(*wire.PeerSync)
}

// Node keeps the settings of one entry up to date.
type Node struct {
	cfg             Config
	store           *store
	counts          counters
	statusTable     *statusTable
	ready           chan struct{}
	readyOnce       sync.Once
	checkpointWake  chan struct{} // makes runCheckpoints check at once
	statusRequested chan struct{} // signals refreshTable that NodeStatuses was called

	era     int64          // of the log; used by follow only
	history logera.History // of the settings stream; used by follow only

	mu         sync.Mutex
	logHealthy bool
	logTried   bool // a first read of the log has succeeded or failed
	checkpoint checkpointView
	feeder     *Feeder

	// behindSince is the time since which a peer is known to have settings above
	// behindOffset, this node's offset at that time; zero if none is known.
	behindSince  time.Time
	behindOffset int64
}

// counters of a Node.
type counters struct {
	accepted    metrics.Counter
	rejected    metrics.Counter
	undecodable metrics.Counter
	logErrors   metrics.Counter
	expired     metrics.Counter
	checkpoints metrics.Counter
	peerUpdates metrics.Counter
	peerErrors  metrics.Counter
	feedErrors  metrics.Counter
	offset      metrics.Gauge
}

func newCounters(registry metrics.Registry) counters {
	return counters{
		accepted:    metrics.GetOrRegisterCounter("settings.writes.accepted", registry),
		rejected:    metrics.GetOrRegisterCounter("settings.writes.rejected", registry),
		undecodable: metrics.GetOrRegisterCounter("settings.records.undecodable", registry),
		logErrors:   metrics.GetOrRegisterCounter("settings.log.errors", registry),
		expired:     metrics.GetOrRegisterCounter("settings.log.expired", registry),
		checkpoints: metrics.GetOrRegisterCounter("settings.checkpoints.written", registry),
		peerUpdates: metrics.GetOrRegisterCounter("settings.peers.updates", registry),
		peerErrors:  metrics.GetOrRegisterCounter("settings.peers.errors", registry),
		feedErrors:  metrics.GetOrRegisterCounter("settings.feed.errors", registry),
		offset:      metrics.GetOrRegisterGauge("settings.offset", registry),
	}
}

// NewNode returns a node without settings. Run loads them.
func NewNode(cfg Config) *Node {
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	setDefault(&cfg.ReadWait, DefaultReadWait)
	setDefault(&cfg.RetryDelay, DefaultRetryDelay)
	setDefault(&cfg.CheckpointInterval, DefaultCheckpointInterval)
	setDefault(&cfg.PeerInterval, DefaultPeerInterval)
	n := &Node{
		cfg:             cfg,
		store:           newStore(),
		counts:          newCounters(cfg.Registry),
		ready:           make(chan struct{}),
		checkpointWake:  make(chan struct{}, 1),
		statusRequested: make(chan struct{}, 1),
	}
	n.statusTable = newStatusTable(n.ownStatus)
	return n
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d <= 0 {
		*d = fallback
	}
}

// Run follows the log, exchanges settings with peers and writes checkpoints
// until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.follow(ctx) })
	group.Go(func() error { return n.gossip(ctx) })
	if n.cfg.Dial != nil {
		group.Go(func() error { return n.refreshTable(ctx) })
	}
	group.Go(func() error { return n.runCheckpoints(ctx) })
	return group.Wait()
}

// Ready is closed once the node has settings.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// Snapshot returns the newest settings, nil before the node is ready.
func (n *Node) Snapshot() *settings.Snapshot { return n.store.snapshot.Load() }

// Changed returns a channel that closes at the next new snapshot. Call Changed
// before Snapshot, so that no change is missed.
func (n *Node) Changed() <-chan struct{} { return n.store.nextChange() }

// History returns the last writes of a path, accepted or not, oldest first.
func (n *Node) History(path string) []settings.DecidedWrite { return n.store.history(path) }

// markReady marks the node as ready.
func (n *Node) markReady() {
	n.readyOnce.Do(func() { close(n.ready) })
}

// pause waits for a duration with jitter. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(jitter(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter returns a random duration between three and five quarters of d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}
