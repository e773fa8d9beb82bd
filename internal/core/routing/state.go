package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"quetzalbend/internal/core/rendezvous"
)

// reportLifetime is how long a reported load counts; its weight falls to 0 over
// this time.
const reportLifetime = 10 * time.Second

// leavingLifetime is how long an agent's report that its target leaves counts.
const leavingLifetime = 2 * time.Second

// Report is the last load that a target's agent has reported.
type Report struct {
	Incarnation string
	Running     int
	Queued      int
	Limit       int // concurrent requests that the agent admits
	Cold        bool
	Leaving     bool

	FirstTokenMS    float64 // smoothed
	BetweenTokensMS float64 // smoothed

	own        int // this entry's outstanding requests at the time of receivedAt
	receivedAt time.Time
}

// State is what this entry knows about one target beyond the settings. It is only a
// hint: the target's agent decides what it admits.
type State struct {
	outstanding atomic.Int64
	report      atomic.Pointer[Report]
	avoidUntil  atomic.Int64 // Unix nanoseconds
	failures    atomic.Int64 // in a row
	vmLeaving   atomic.Bool
}

// Begin records the start of an outstanding request.
func (s *State) Begin() { s.outstanding.Add(1) }

// End records the end of an outstanding request.
func (s *State) End() { s.outstanding.Add(-1) }

// Outstanding returns the requests that this entry has at the target.
func (s *State) Outstanding() int { return int(s.outstanding.Load()) }

// Observe stores a report of the target's agent.
func (s *State) Observe(report Report, now time.Time) {
	report.own = s.Outstanding()
	report.receivedAt = now
	s.report.Store(&report)
	s.failures.Store(0)
}

// maxAvoidDoublings is how many times the duration for which a failing target is
// avoided may double.
const maxAvoidDoublings = 3

// RecordFailure marks a target that does not respond as avoided for the duration
// base. That duration doubles with each further failure, up to maxAvoidDoublings
// times, until the target reports again.
func (s *State) RecordFailure(now time.Time, base time.Duration) {
	if s.avoided(now) {
		return // simultaneous failures count once
	}
	failures := s.failures.Add(1)
	s.avoidUntil.Store(now.Add(base << min(failures-1, maxAvoidDoublings)).UnixNano())
}

// SetVMLeaving says whether the platform lists the target's VM as leaving.
func (s *State) SetVMLeaving(leaving bool) { s.vmLeaving.Store(leaving) }

// Leaving reports whether the target is about to leave. While it counts as leaving it
// gets no requests, so that no new report could show that it has returned; the
// agent's report of leaving therefore counts only for leavingLifetime.
func (s *State) Leaving(now time.Time) bool {
	if s.vmLeaving.Load() {
		return true
	}
	report := s.report.Load()
	return report != nil && report.Leaving && now.Sub(report.receivedAt) < leavingLifetime
}

// LastReport returns the last report of the target's agent, if there was any.
func (s *State) LastReport() (Report, bool) {
	report := s.report.Load()
	if report == nil {
		return Report{}, false
	}
	return *report, true
}

// Avoided reports whether the target is avoided because of failures.
func (s *State) Avoided(now time.Time) bool { return s.avoided(now) }

func (s *State) avoided(now time.Time) bool {
	return now.UnixNano() < s.avoidUntil.Load()
}

// expectedRequests estimates the number of requests at the target, including those of
// other entries.
func (s *State) expectedRequests(now time.Time) float64 {
	own := float64(s.Outstanding())
	report := s.report.Load()
	if report == nil {
		return own
	}
	freshness := 1 - float64(now.Sub(report.receivedAt))/float64(reportLifetime)
	others := float64(report.Running + report.Queued - report.own)
	if freshness <= 0 || others <= 0 {
		return own
	}
	return own + others*freshness
}

// limit is the number of concurrent requests that the target is assumed to handle:
// its last reported limit, or the cold limit.
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

// Get returns the state of a target and creates it if there is none. The state
// persists when settings change.
func (s *States) Get(target string) *State {
	shard := &s.shards[rendezvous.Hash(target)%stateShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state, ok := shard.states[target]
	if !ok {
		state = &State{}
		shard.states[target] = state
	}
	return state
}

// Retain removes the states of the targets for which keep returns false.
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
