package settingssync

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/settings"
)

// recentWrites is the number of judged writes that a node remembers.
const recentWrites = 4096

// store holds the folded state of one node and publishes its snapshots. The
// offset only grows.
type store struct {
	snapshot atomic.Pointer[settings.Snapshot]

	mu      sync.Mutex
	state   *settings.State // nil before there is one
	changed chan struct{}   // closed and replaced at each new snapshot
	from    int64           // every record above it was folded one by one
	recent  []judgement
	waiters map[string]chan judgement // by operation
}

// judgement is a verdict that this node has reached on one landing of a write.
type judgement struct {
	settings.DecidedWrite
	// first is set if this was certainly the write's first landing, which
	// decides. A node that was moved by a peer or a checkpoint past offsets
	// above the write's as-of offset may have missed an earlier one.
	first bool
}

// numbered is a decoded record with its offset.
type numbered struct {
	offset int64
	record settings.Record
}

func newStore() *store {
	return &store{changed: make(chan struct{}), waiters: map[string]chan judgement{}}
}

// offset returns the offset of the state and whether there is one.
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

// install replaces the state by one at a higher offset; a lower one is dropped.
// The writes were judged on the way from the offset from to it.
func (s *store) install(state *settings.State, from int64, judged []settings.DecidedWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != nil && state.Offset() <= s.state.Offset() {
		return
	}
	s.state = state
	s.from = from
	for _, j := range judged {
		s.remember(j)
	}
	s.publish()
}

// apply folds records in offset order and skips those already folded. It
// returns the number of writes accepted and rejected.
func (s *store) apply(records []numbered) (accepted, rejected int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Offset()
	for _, r := range records {
		if r.offset <= s.state.Offset() {
			continue
		}
		judged, err := s.state.Apply(r.offset, r.record)
		if err != nil {
			return accepted, rejected, err
		}
		if judged == nil {
			continue
		}
		if judged.Verdict == settings.Accepted {
			accepted++
		} else {
			rejected++
		}
		s.remember(*judged)
	}
	if s.state.Offset() > before {
		s.publish()
	}
	return accepted, rejected, nil
}

// advance moves the state by a delta from a peer and reports whether it did.
func (s *store) advance(delta settings.Delta) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		if delta.From != settings.NoOffset {
			return false, errors.Errorf("no settings to apply a delta from offset %d to", delta.From)
		}
		state, err := settings.FromDelta(delta)
		if err != nil {
			return false, err
		}
		s.state = state
		s.from = delta.To
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
	s.from = delta.To
	s.publish()
	return true, nil
}

// deltaFrom returns what a reader at an offset lacks, and false if this node
// has nothing that the reader lacks.
func (s *store) deltaFrom(offset int64) (settings.Delta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || s.state.Offset() <= offset {
		return settings.Delta{}, false
	}
	return s.state.DeltaFrom(offset), true
}

// publish makes the state's snapshot visible. The lock is held.
func (s *store) publish() {
	s.snapshot.Store(s.state.Snapshot())
	close(s.changed)
	s.changed = make(chan struct{})
}

// remember keeps a judged write and wakes its writer. The lock is held.
func (s *store) remember(judged settings.DecidedWrite) {
	if len(s.recent) >= recentWrites {
		s.recent = append(s.recent[:0:0], s.recent[recentWrites/4:]...)
	}
	j := judgement{DecidedWrite: judged, first: judged.Write.AsOf >= s.from}
	s.recent = append(s.recent, j)
	if waiter, ok := s.waiters[judged.Write.Operation]; ok {
		delete(s.waiters, judged.Write.Operation)
		waiter <- j
	}
}

// changes returns a channel that closes at the next new snapshot.
func (s *store) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// await returns a channel that gets the verdict on the first landing of an
// operation that this node sees.
func (s *store) await(operation string) <-chan judgement {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiter := make(chan judgement, 1)
	s.waiters[operation] = waiter
	return waiter
}

// forgo ends an await.
func (s *store) forgo(operation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, operation)
}

// history returns the remembered writes of a path, oldest first.
func (s *store) history(path string) []settings.DecidedWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []settings.DecidedWrite
	for _, judged := range s.recent {
		if judged.Write.Path == path {
			found = append(found, judged.DecidedWrite)
		}
	}
	return found
}

// verdict returns the remembered first landing of an operation.
func (s *store) verdict(operation string) (judgement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, judged := range s.recent {
		if judged.Write.Operation == operation {
			return judged, true
		}
	}
	return judgement{}, false
}
