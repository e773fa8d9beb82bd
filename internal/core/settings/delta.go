package settings

import (
	"sort"

	"github.com/pkg/errors"
)

// Delta brings a state from one offset to a later one without the records in
// between. The result is exactly the state that folding them gives.
type Delta struct {
	From    int64 // NoOffset: Entries hold the whole state
	To      int64
	Entries []CheckpointEntry
}

// DeltaFrom returns what a reader at an offset lacks. It falls back to the
// whole state where remembered deletions do not reach back far enough.
func (s *State) DeltaFrom(offset int64) Delta {
	if offset < NoOffset || s.Offset()-offset > s.window {
		offset = NoOffset
	}
	return Delta{From: offset, To: s.Offset(), Entries: s.entriesSince(offset)}
}

// check refuses entries that no fold can have led to.
func (d *Delta) check() error {
	for i := range d.Entries {
		entry := &d.Entries[i]
		if entry.Version <= NoOffset || entry.Version > d.To {
			return errors.Errorf("settings up to offset %d: path %.80q has version %d", d.To, entry.Path, entry.Version)
		}
		if !ValidPath(entry.Path) || entry.Deleted != (len(entry.Value) == 0) {
			return errors.Errorf("settings up to offset %d: path %.80q is malformed", d.To, entry.Path)
		}
	}
	return nil
}

// FromDelta returns the state of a delta that holds the whole state.
func FromDelta(delta Delta) (*State, error) {
	if err := delta.check(); err != nil {
		return nil, err
	}
	return fromEntries(WriteWindow, delta.To, delta.Entries), nil
}

// Advance returns the state that a delta leads to. It fails, and the state
// stays as it is, if the delta starts later or leads to no later offset. A
// delta that starts earlier repeats only what the state holds already.
func (s *State) Advance(delta Delta) (*State, error) {
	if delta.To <= s.Offset() {
		return nil, errors.Errorf("advance settings: offset %d is not above %d", delta.To, s.Offset())
	}
	if err := delta.check(); err != nil {
		return nil, err
	}
	if delta.From == NoOffset {
		return fromEntries(s.window, delta.To, delta.Entries), nil
	}
	if delta.From > s.Offset() {
		return nil, errors.Errorf("advance settings: delta from offset %d at offset %d", delta.From, s.Offset())
	}
	next := s.Clone()
	entries := append([]CheckpointEntry(nil), delta.Entries...)
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].Version < entries[j].Version })
	for _, entry := range entries {
		if entry.Version <= s.Offset() {
			continue
		}
		next.set(entry.Version, Write{
			Path: entry.Path, Value: entry.Value, Deleted: entry.Deleted, Author: entry.Author,
		})
	}
	next.snapshot = next.snapshot.at(delta.To)
	next.forget()
	return next, nil
}

// Clone returns an independent copy, which shares what does not change.
func (s *State) Clone() *State {
	next := newState(s.window)
	next.snapshot = s.snapshot
	next.tombstones = append([]tombstone(nil), s.tombstones...)
	for path, version := range s.deleted {
		next.deleted[path] = version
	}
	return next
}
