package settings

import (
	"sort"

	"github.com/pkg/errors"
)

// Delta moves a state from one offset to a later one without the records in
// between. The result equals the state after applying those records.
type Delta struct {
	From    int64             // NoOffset if Entries hold the whole state
	To      int64             // offset of the resulting state
	Entries []CheckpointEntry // those with a version above From
}

// DeltaFrom returns the delta from an offset to the state. It holds the whole
// state if there is no state at that offset, or if tombstones of deletions
// after it may have been dropped.
func (s *State) DeltaFrom(offset int64) Delta {
	if offset < NoOffset || s.Offset()-offset > s.window {
		offset = NoOffset
	}
	return Delta{From: offset, To: s.Offset(), Entries: s.entriesSince(offset)}
}

// validate returns an error if no sequence of records can produce the entries.
func (d *Delta) validate() error {
	for i := range d.Entries {
		entry := &d.Entries[i]
		if entry.Version <= NoOffset || entry.Version > d.To {
			return errors.Errorf("delta of settings up to offset %d: path %.80q has version %d, out of range", d.To, entry.Path, entry.Version)
		}
		if !ValidPath(entry.Path) || entry.Deleted != (len(entry.Value) == 0) {
			return errors.Errorf("delta of settings up to offset %d: entry of path %.80q is malformed", d.To, entry.Path)
		}
	}
	return nil
}

// FromDelta returns the state from a delta that holds the whole state.
func FromDelta(delta Delta) (*State, error) {
	if err := delta.validate(); err != nil {
		return nil, err
	}
	return stateFromEntries(WriteWindow, delta.To, delta.Entries), nil
}

// Advance returns the state after a delta and leaves s as it is. It fails if
// the delta starts above the state's offset or does not lead to a later one.
// If the delta starts below it, the entries that the state already has are
// skipped.
func (s *State) Advance(delta Delta) (*State, error) {
	if delta.To <= s.Offset() {
		return nil, errors.Errorf("advance settings: delta to offset %d is not above offset %d", delta.To, s.Offset())
	}
	if err := delta.validate(); err != nil {
		return nil, err
	}
	if delta.From == NoOffset {
		return stateFromEntries(s.window, delta.To, delta.Entries), nil
	}
	if delta.From > s.Offset() {
		return nil, errors.Errorf("advance settings: delta from offset %d leaves a gap after offset %d", delta.From, s.Offset())
	}
	next := s.Clone()
	entries := append([]CheckpointEntry(nil), delta.Entries...)
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].Version < entries[j].Version })
	for _, entry := range entries {
		if entry.Version <= s.Offset() {
			continue
		}
		next.applyWrite(entry.Version, Write{
			Path: entry.Path, Value: entry.Value, Deleted: entry.Deleted, Author: entry.Author,
		})
	}
	next.snapshot = next.snapshot.withOffset(delta.To)
	next.dropTombstones()
	return next, nil
}

// Clone returns an independent copy. The two share the snapshot, which is
// immutable.
func (s *State) Clone() *State {
	next := newState(s.window)
	next.snapshot = s.snapshot
	next.tombstones = append([]tombstone(nil), s.tombstones...)
	for path, version := range s.deleted {
		next.deleted[path] = version
	}
	return next
}
