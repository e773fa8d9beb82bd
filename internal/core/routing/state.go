package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// hintLifetime is how long a reported load counts.
const hintLifetime = 10 * time.Second

// leavingLifetime is how long an agent's word that its target leaves counts.
const leavingLifetime = 2 * time.Second

// Report is the load that a target's agent has lately told.
type Report struct {
	Incarnation string
	Running     int
	Queued      int
	Limit       int // concurrent requests that the agent admits
	Cold        bool
	Leaving     bool

	FirstTokenMS    float64 // smoothed
	BetweenTokensMS float64 // smoothed

	own int // requests of this entry outstanding when the report came
	at  time.Time
}

// State is what this entry knows of one target beyond the settings. It is a
// hint only: the target's agent decides what it admits.
type State struct {
	outstanding atomic.Int64
	report      atomic.Pointer[Report]
	avoidUntil  atomic.Int64 // Unix nanoseconds
	failures    atomic.Int64 // in a row
	vmLeaving   atomic.Bool
}

// Begin counts one more outstanding request.
func (s *State) Begin() { s.outstanding.Add(1) }

// End counts one outstanding request less.
func (s *State) End() { s.outstanding.Add(-1) }

// Outstanding returns the requests that this entry has at the target.
func (s *State) Outstanding() int { return int(s.outstanding.Load()) }

// Observe takes in a report of the target's agent.
func (s *State) Observe(report Report, now time.Time) {
	report.own = s.Outstanding()
	report.at = now
	s.report.Store(&report)
	s.failures.Store(0)
}

// maxDoublings bounds how long a target that fails again and again is left out.
const maxDoublings = 3

// RecordFailure keeps a target that does not respond out of the choice for a while, and
// twice as long with each further time until it reports again.
func (s *State) RecordFailure(now time.Time, base time.Duration) {
	if s.avoided(now) {
		return // requests that fail together count once
	}
	failures := s.failures.Add(1)
	s.avoidUntil.Store(now.Add(base << min(failures-1, maxDoublings)).UnixNano())
}

// SetVMLeaving says whether the platform lists the target's VM as leaving.
func (s *State) SetVMLeaving(leaving bool) { s.vmLeaving.Store(leaving) }

// Leaving reports whether the target is about to leave. A target that came back
// cannot say so while it gets no work, so its agent's word counts only for a while.
func (s *State) Leaving(now time.Time) bool {
	if s.vmLeaving.Load() {
		return true
	}
	report := s.report.Load()
	return report != nil && report.Leaving && now.Sub(report.at) < leavingLifetime
}

// LastReport returns the last report of the target's agent, if there was any.
func (s *State) LastReport() (Report, bool) {
	report := s.report.Load()
	if report == nil {
		return Report{}, false
	}
	return *report, true
}

// Avoided reports whether the target is kept out of the choice for now.
func (s *State) Avoided(now time.Time) bool { return s.avoided(now) }

func (s *State) avoided(now time.Time) bool {
	return now.UnixNano() < s.avoidUntil.Load()
}

// expected estimates the requests at the target, those of other entries included.
func (s *State) expected(now time.Time) float64 {
	own := float64(s.Outstanding())
	report := s.report.Load()
	if report == nil {
		return own
	}
	freshness := 1 - float64(now.Sub(report.at))/float64(hintLifetime)
	others := float64(report.Running + report.Queued - report.own)
	if freshness <= 0 || others <= 0 {
		return own
	}
	return own + others*freshness
}

// limit is the number of requests that the target is thought to bear at once.
func (s *State) limit(coldLimit int) float64 {
	report := s.report.Load()
	if report == nil || report.Limit <= 0 {
		return float64(max(coldLimit, 1))
	}
	return float64(report.Limit)
}

const stateShards = 64

// States holds the state of every target by name, in shards.
type States struct {
	shards [stateShards]stateShard
}

type stateShard struct {
	mu     sync.Mutex
	states map[string]*State
}

// NewStates returns an empty set of states.
func NewStates() *States {
	s := &States{}
	for i := range s.shards {
		s.shards[i].states = make(map[string]*State)
	}
	return s
}

// Get returns the state of a target, which lasts across settings.
func (s *States) Get(target string) *State {
	shard := &s.shards[hash(target)%stateShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state, ok := shard.states[target]
	if !ok {
		state = &State{}
		shard.states[target] = state
	}
	return state
}

// Retain forgets the targets for which keep is false.
func (s *States) Retain(keep func(target string) bool) {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for name := range shard.states {
			if !keep(name) {
				delete(shard.states, name)
			}
		}
		shard.mu.Unlock()
	}
}
