package settingssync

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/settings"
)

// maxRecentWrites is the highest number of decided writes that a node remembers.
const maxRecentWrites = 4096

// store holds the state of one node and publishes its snapshots. The offset
// never decreases.
type store struct {
	snapshot atomic.Pointer[settings.Snapshot]

	mu           sync.Mutex
	state        *settings.State               // nil before there is one
	changed      chan struct{}                 // closed and replaced at each new snapshot
	replayedFrom int64                         // the records above this offset were all applied one by one
	recent       []writeDecision               // decisions on the last writes, oldest first
	waiters      map[string]chan writeDecision // by operation
}

// writeDecision is the verdict on one copy of a write in the log. A writer may
// append the same write more than once; its first copy decides.
type writeDecision struct {
	settings.DecidedWrite
	// noneSkipped is set if the node has applied every record above the write's
	// as-of offset, so that it can't have missed an earlier copy. Otherwise a
	// delta or a checkpoint may have moved the node past one.
	noneSkipped bool
}

// decodedRecord is a decoded record with its offset.
type decodedRecord struct {
	offset int64
	record settings.Record
}

func newStore() *store {
	return &store{changed: make(chan struct{}), waiters: map[string]chan writeDecision{}}
}

// offset returns the offset of the state, and false if there is no state.
func (s *store) offset() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return settings.NoOffset, false
	}
	return s.state.Offset(), true
}

// copy returns an independent copy of the state, nil before there is one.
func (s *store) copy() *settings.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return nil
	}
	return s.state.Clone()
}

// install replaces the state by one with a higher offset and ignores any other.
// The decided writes are those between replayedFrom and the new offset.
func (s *store) install(state *settings.State, replayedFrom int64, decided []settings.DecidedWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != nil && state.Offset() <= s.state.Offset() {
		return
	}
	s.state = state
	s.replayedFrom = replayedFrom
	for _, write := range decided {
		s.remember(write)
	}
	s.publish()
}

// replace replaces the state by one of a new era of the log, whatever its offset.
func (s *store) replace(state *settings.State, replayedFrom int64, decided []settings.DecidedWrite) {
	s.mu.Lock()
	s.state = nil
	s.mu.Unlock()
	s.install(state, replayedFrom, decided)
}

// apply applies records in offset order and skips those already applied. It
// returns the numbers of accepted and rejected writes.
func (s *store) apply(records []decodedRecord) (accepted, rejected int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Offset()
	for _, r := range records {
		if r.offset <= s.state.Offset() {
			continue
		}
		decided, err := s.state.Apply(r.offset, r.record)
		if err != nil {
			return accepted, rejected, err
		}
		if decided == nil {
			continue
		}
		if decided.Verdict == settings.Accepted {
			accepted++
		} else {
			rejected++
		}
		s.remember(*decided)
	}
	if s.state.Offset() > before {
		s.publish()
	}
	return accepted, rejected, nil
}

// advance applies a delta from a peer and reports whether the state changed.
func (s *store) advance(delta settings.Delta) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		if delta.From != settings.NoOffset {
			return false, errors.Errorf("delta from offset %d, but the node has no settings yet", delta.From)
		}
		state, err := settings.FromDelta(delta)
		if err != nil {
			return false, err
		}
		s.state = state
		s.replayedFrom = delta.To
		s.publish()
		return true, nil
	}
	if delta.To <= s.state.Offset() {
		return false, nil
	}
	state, err := s.state.Advance(delta)
	if err != nil {
		return false, err
	}
	s.state = state
	s.replayedFrom = delta.To
	s.publish()
	return true, nil
}

// deltaFrom returns the delta for a reader at an offset, and false if this node
// has nothing newer.
func (s *store) deltaFrom(offset int64) (settings.Delta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || s.state.Offset() <= offset {
		return settings.Delta{}, false
	}
	return s.state.DeltaFrom(offset), true
}

// publish makes the state's snapshot visible. The caller holds the lock.
func (s *store) publish() {
	s.snapshot.Store(s.state.Snapshot())
	close(s.changed)
	s.changed = make(chan struct{})
}

// remember keeps a decided write and wakes its writer. The caller holds the lock.
func (s *store) remember(decided settings.DecidedWrite) {
	if len(s.recent) >= maxRecentWrites {
		s.recent = append(s.recent[:0:0], s.recent[maxRecentWrites/4:]...)
	}
	decision := writeDecision{DecidedWrite: decided, noneSkipped: decided.Write.AsOf >= s.replayedFrom}
	s.recent = append(s.recent, decision)
	if waiter, ok := s.waiters[decided.Write.Operation]; ok {
		delete(s.waiters, decided.Write.Operation)
		waiter <- decision
	}
}

// nextChange returns a channel that closes at the next new snapshot.
func (s *store) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// subscribe returns a channel that gets the decision on the next copy of an
// operation that this node applies.
func (s *store) subscribe(operation string) <-chan writeDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiter := make(chan writeDecision, 1)
	s.waiters[operation] = waiter
	return waiter
}

// unsubscribe drops the channel of an operation.
func (s *store) unsubscribe(operation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, operation)
}

// history returns the remembered writes of a path, oldest first.
func (s *store) history(path string) []settings.DecidedWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []settings.DecidedWrite
	for _, decided := range s.recent {
		if decided.Write.Path == path {
			found = append(found, decided.DecidedWrite)
		}
	}
	return found
}

// decision returns the earliest remembered decision on an operation.
func (s *store) decision(operation string) (writeDecision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, decided := range s.recent {
		if decided.Write.Operation == operation {
			return decided, true
		}
	}
	return writeDecision{}, false
}
