package ranks

import (
	"context"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/expertmap"
)

// ErrFenced reports an order with an old fencing token.
var ErrFenced = errors.New("old fencing number")

// Group is a lock-step group: a rank begins a step only when all ranks have
// begun the one before.
type Group struct {
	checkFencing bool

	lock           sync.Mutex
	ranks          []*rank
	used           map[stepKey]expertmap.Map // map that the first rank used in a step
	truth          Truth
	enginesStarted int
	meter          *meter // nil without a load
}

// Truth is what really happened in a group.
type Truth struct {
	Steps       int64   `json:"steps"`        // steps that at least one rank has begun
	Mixed       int64   `json:"mixed"`        // uses of another map than the first rank's in the same step
	Activated   int64   `json:"activated"`    // activations followed, summed over ranks
	Cancelled   int64   `json:"cancelled"`    // cancellations followed, summed over ranks
	Fenced      int64   `json:"fenced"`       // orders refused for their fencing token
	HeldSteps   int64   `json:"held_steps"`   // attempts to begin a step that a hold prevented
	StagedBytes int64   `json:"staged_bytes"` // payload bytes staged
	MeanSkew    float64 `json:"mean_skew"`    // mean ratio of the slowest rank's time to the average rank's, 0 without a load
	Versions    []int64 `json:"versions"`     // map in use at each rank
	At          []int64 `json:"at"`           // next step of each rank
	Epochs      []int64 `json:"epochs"`       // epoch of each rank
}

type stepKey struct {
	epoch, step int64
}

// rank is the engine of one rank.
type rank struct {
	state   expertmap.EngineState
	next    *expertmap.Decision // activation whose step has not begun
	staged  expertmap.Map
	fencing expertmap.Ballot
	stalled bool
}

// NewGroup returns a group whose engines have the initial map and are in no epoch
// yet.
func NewGroup(size int, initial expertmap.Map, checkFencing bool) *Group {
	g := &Group{checkFencing: checkFencing, used: map[stepKey]expertmap.Map{}}
	for range size {
		g.ranks = append(g.ranks, g.newRank(initial))
	}
	return g
}

func (g *Group) newRank(initial expertmap.Map) *rank {
	g.enginesStarted++
	return &rank{state: expertmap.EngineState{Incarnation: "engine-" + strconv.Itoa(g.enginesStarted), Current: initial}}
}

// Replace replaces the engine of a rank by a new one.
func (g *Group) Replace(r int, initial expertmap.Map) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.ranks[r] = g.newRank(initial)
	for _, other := range g.ranks {
		if other.state.Epoch != 0 {
			return
		}
	}
	clear(g.used) // no engine of the old group is left
}

// Stall stops a rank from beginning steps, or lets it resume.
func (g *Group) Stall(r int, stalled bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.ranks[r].stalled = stalled
}

// Begin lets a rank begin its next step and reports whether it could.
func (g *Group) Begin(r int) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	engine := g.ranks[r]
	if engine.stalled || engine.state.Epoch == 0 || !g.inStep(engine) {
		return false
	}
	if h := engine.state.Held; h != nil && (h.Now || engine.state.Step >= h.Step) {
		g.truth.HeldSteps++
		return false
	}
	if engine.next != nil && engine.state.Step >= engine.next.Step {
		engine.state.Current = engine.next.Map
		engine.next = nil
	}
	g.record(engine)
	engine.state.Step++
	return true
}

// inStep reports whether all ranks are in the rank's epoch and none is at an
// earlier step.
func (g *Group) inStep(engine *rank) bool {
	for _, other := range g.ranks {
		if other.state.Epoch != engine.state.Epoch || other.state.Step < engine.state.Step {
			return false
		}
	}
	return true
}

// record records the map that a rank uses in a step, and compares it with that of
// the first rank in the step.
func (g *Group) record(engine *rank) {
	key := stepKey{engine.state.Epoch, engine.state.Step}
	now := engine.state.Current
	before, ok := g.used[key]
	if !ok {
		g.used[key] = now
		delete(g.used, stepKey{key.epoch, key.step - 2})
		g.truth.Steps++
		if g.meter != nil {
			g.meter.measure(key.step, now.Version, now.Payload)
		}
		return
	}
	if before.Version != now.Version || string(before.Payload) != string(now.Payload) {
		g.truth.Mixed++
	}
}

// Truth returns what has happened so far.
func (g *Group) Truth() Truth {
	g.lock.Lock()
	defer g.lock.Unlock()
	truth := g.truth
	if g.meter != nil && g.meter.steps > 0 {
		truth.MeanSkew = g.meter.skewSum / float64(g.meter.steps)
	}
	for _, r := range g.ranks {
		truth.Versions = append(truth.Versions, r.state.Current.Version)
		truth.At = append(truth.At, r.state.Step)
		truth.Epochs = append(truth.Epochs, r.state.Epoch)
	}
	return truth
}

// Engine returns the engine of a rank.
func (g *Group) Engine(r int) expertmap.Engine { return &rankEngine{g, r} }

// rankEngine implements expertmap.Engine for one rank of a group.
type rankEngine struct {
	group *Group
	rank  int
}

var _ expertmap.Engine = (*rankEngine)(nil)

// State implements expertmap.Engine.
func (p *rankEngine) State(context.Context) (expertmap.EngineState, error) {
	p.group.lock.Lock()
	defer p.group.lock.Unlock()
	state := p.group.ranks[p.rank].state
	if state.Held != nil {
		held := *state.Held
		state.Held = &held
	}
	return state, nil
}

// Fence implements expertmap.Engine.
func (p *rankEngine) Fence(_ context.Context, fencing expertmap.Ballot) error {
	_, err := p.order(fencing, func(*rank) bool { return true })
	return err
}

// Stage implements expertmap.Engine.
func (p *rankEngine) Stage(_ context.Context, fencing expertmap.Ballot, next expertmap.Map) error {
	_, err := p.order(fencing, func(r *rank) bool {
		r.staged = next
		r.state.Staged = next.Version
		p.group.truth.StagedBytes += int64(len(next.Payload))
		return true
	})
	return err
}

// Hold implements expertmap.Engine.
func (p *rankEngine) Hold(_ context.Context, fencing expertmap.Ballot, hold expertmap.Hold) (bool, error) {
	return p.order(fencing, func(r *rank) bool { return r.hold(hold) })
}

// Follow implements expertmap.Engine.
func (p *rankEngine) Follow(_ context.Context, fencing expertmap.Ballot, d expertmap.Decision) (bool, error) {
	return p.order(fencing, func(r *rank) bool {
		if r.isRepeat(d) {
			return true
		}
		if !r.follow(d) {
			return false
		}
		if d.Activate {
			p.group.truth.Activated++
		} else {
			p.group.truth.Cancelled++
		}
		return true
	})
}

// order carries out an order unless its fencing token is old.
func (p *rankEngine) order(fencing expertmap.Ballot, act func(*rank) bool) (bool, error) {
	g := p.group
	g.lock.Lock()
	defer g.lock.Unlock()
	r := g.ranks[p.rank]
	if g.checkFencing && fencing < r.fencing {
		g.truth.Fenced++
		return false, errors.Wrapf(ErrFenced, "rank %d: %d after %d", p.rank, fencing, r.fencing)
	}
	r.fencing = max(r.fencing, fencing)
	return act(r), nil
}

// hold holds for a change of the staged map, and reports false if the rank must
// not or can no longer hold.
func (r *rank) hold(h expertmap.Hold) bool {
	if h.Instance <= r.state.Last.Instance || r.state.Staged != h.Version {
		return false
	}
	if !h.Now && (h.Instance != r.state.Last.Instance+1 || r.state.Step > h.Step) {
		return false
	}
	r.state.Held = &h
	return true
}

// isRepeat reports whether d is the decision that the rank followed last.
func (r *rank) isRepeat(d expertmap.Decision) bool {
	last := r.state.Last
	return d.Instance == last.Instance && d.Activate == last.Activate && d.Epoch == r.state.Epoch
}

// follow follows a decision, and reports false if the rank must not follow it.
func (r *rank) follow(d expertmap.Decision) bool {
	if d.Instance <= r.state.Last.Instance {
		return false
	}
	if !d.Activate {
		return r.cancel(d)
	}
	if r.state.Held == nil || r.state.Held.Instance != d.Instance {
		return false
	}
	r.state.Held = nil
	r.state.Last = d
	if d.Epoch != r.state.Epoch {
		r.state.Epoch, r.state.Step, r.state.Current, r.next = d.Epoch, d.Step, d.Map, nil
		return true
	}
	r.next = &d
	return true
}

func (r *rank) cancel(d expertmap.Decision) bool {
	if d.Epoch != r.state.Epoch || d.Instance != r.state.Last.Instance+1 {
		return false
	}
	r.state.Held = nil
	r.state.Last = d
	return true
}
