package mapgroup

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/internal/app/standin/ranks"
	"quetzalbend/internal/core/balance"
	"quetzalbend/internal/core/expertmap"
	"quetzalbend/internal/wire"
)

const (
	testRanks   = 4
	testExperts = 8
)

// testGroup runs a runner for each rank of a stand-in group in one process.
type testGroup struct {
	t          *testing.T
	shape      balance.Shape
	engines    *ranks.Group
	initialMap expertmap.Map

	lock          sync.Mutex
	runners       []*Runner
	stops         []context.CancelFunc
	loads         []float64
	drops         func(m *wire.MapMessage) bool // reports whether a message between agents is dropped
	agentsStarted int
	step          int64
}

func newTestGroup(t *testing.T) *testGroup {
	shape, err := balance.EvenShape(testRanks, testExperts, 2*testExperts)
	assert.NilError(t, err)
	g := &testGroup{t: t, shape: shape, loads: make([]float64, testExperts)}
	for e := range g.loads {
		g.loads[e] = 1
	}
	speeds := []float64{1, 1, 1, 1}
	payload, err := balance.EncodeLayers([]balance.Map{balance.Pack(shape, g.loads, speeds)})
	assert.NilError(t, err)
	g.initialMap = expertmap.Map{Payload: payload}
	g.engines = ranks.NewGroup(testRanks, g.initialMap, true)
	g.runners = make([]*Runner, testRanks)
	g.stops = make([]context.CancelFunc, testRanks)
	g.drops = func(*wire.MapMessage) bool { return false }
	for r := range testRanks {
		g.start(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.engines.Drive(ctx, 100*time.Microsecond)
	return g
}

// start starts a new agent on a rank.
func (g *testGroup) start(rank int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.agentsStarted++
	cfg := Config{
		Group: "g", Rank: rank, Ranks: testRanks, Incarnation: fmt.Sprint("agent-", g.agentsStarted),
		Layers: 1, Shape: g.shape, Balance: balance.DefaultConfig(), StepMS: 40, StoreRate: 1e12,
		ReportInterval: 2 * time.Millisecond, PlanInterval: 10 * time.Millisecond, AskTimeout: 200 * time.Millisecond,
		LeadSteps: 50, ChecksFencing: true,
	}
	runner, err := New(cfg, Ports{Engine: g.engines.Engine(rank), Reports: g, Peers: g})
	assert.NilError(g.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	g.t.Cleanup(cancel)
	g.runners[rank], g.stops[rank] = runner, cancel
	go func() { _ = runner.Run(ctx) }()
}

// kill stops a rank's agent.
func (g *testGroup) kill(rank int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.stops[rank]()
	g.runners[rank] = nil
}

func (g *testGroup) runner(rank int) *Runner {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.runners[rank]
}

// Ask implements Peers.
func (g *testGroup) Ask(ctx context.Context, rank int, m *wire.MapMessage) (*wire.MapMessage, error) {
	runner := g.runner(rank)
	g.lock.Lock()
	drops := g.drops(m)
	g.lock.Unlock()
	if runner == nil || drops {
		return nil, errors.New("no answer")
	}
	return runner.Handle(ctx, m), nil
}

// Report implements Reports.
func (g *testGroup) Report(context.Context) (Report, error) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.step++
	return Report{Loads: [][]float64{append([]float64(nil), g.loads...)}, Speeds: []float64{1, 1, 1, 1}, Step: g.step}, nil
}

// makeHot gives one expert six times the load of every other expert.
func (g *testGroup) makeHot(hot int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	for e := range g.loads {
		g.loads[e] = 1
	}
	g.loads[hot] = 6
}

// setDrops sets which messages between agents are dropped.
func (g *testGroup) setDrops(drops func(m *wire.MapMessage) bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.drops = drops
}

// skew returns the slowest rank's time relative to the mean, for the map that
// the engines use and the real loads.
func (g *testGroup) skew() float64 {
	state, err := g.engines.Engine(0).State(context.Background())
	assert.NilError(g.t, err)
	layers, err := balance.DecodeLayers(state.Current.Payload, g.shape)
	assert.NilError(g.t, err)
	g.lock.Lock()
	defer g.lock.Unlock()
	speeds := []float64{1, 1, 1, 1}
	return g.shape.Slowest(layers[0], g.loads, speeds) / balance.MeanTime(g.loads, speeds)
}

func (g *testGroup) await(what string, done func() bool) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s: skew %.3f, truth %+v", what, g.skew(), g.engines.Truth())
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.Equal(g.t, g.engines.Truth().Mixed, int64(0))
}

func (g *testGroup) awaitSteps() {
	before := g.engines.Truth().Steps
	g.await("steps", func() bool { return g.engines.Truth().Steps > before+100 })
}

func TestGroupRebalancesWhenTheLoadChanges(t *testing.T) {
	g := newTestGroup(t)
	for hot := range 3 {
		g.makeHot(hot)
		g.await("balance", func() bool { return math.Abs(g.skew()-1) < 0.05 })
	}
	g.awaitSteps()
}

func TestGroupRecoversWhenCoordinatorDiesDuringChange(t *testing.T) {
	g := newTestGroup(t)
	g.awaitSteps()
	// The coordinator's decision reaches only rank 2, then the coordinator
	// dies.
	decided := make(chan struct{}, 100)
	g.setDrops(func(m *wire.MapMessage) bool {
		if m.GetFromRank() != 0 || m.GetKind() != string(expertmap.KindDecide) {
			return false
		}
		decided <- struct{}{}
		return m.GetToRank() != 2
	})
	g.makeHot(5)
	<-decided
	g.kill(0)
	g.setDrops(func(*wire.MapMessage) bool { return false })
	g.start(0)
	g.await("balance", func() bool { return math.Abs(g.skew()-1) < 0.05 })
	g.awaitSteps()
}

func TestReplacedRankStartsANewEpoch(t *testing.T) {
	g := newTestGroup(t)
	g.awaitSteps()
	g.kill(1)
	g.engines.Replace(1, g.initialMap)
	g.start(1)
	g.awaitSteps()
	assert.Assert(t, g.engines.Truth().Epochs[1] >= 2)
}

func TestAgentWaitsAtStartIfItsEngineIgnoresFencing(t *testing.T) {
	g := newTestGroup(t)
	cfg := g.runner(0).config
	cfg.ChecksFencing, cfg.SettleTime = false, time.Hour
	runner, err := New(cfg, Ports{Engine: g.engines.Engine(0), Reports: g, Peers: g})
	assert.NilError(t, err)
	hello, err := expertmap.Encode("g", expertmap.Message{Kind: expertmap.KindHello})
	assert.NilError(t, err)
	assert.Assert(t, runner.Handle(context.Background(), hello) == nil)
}
