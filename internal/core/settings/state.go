package settings

import (
	"github.com/pkg/errors"
)

// WriteWindow is the number of offsets for which a write may follow the state
// that its author had read: a write is rejected as TooLate if its offset is more
// than WriteWindow above Write.AsOf. Deletions are remembered for as many
// offsets. All nodes must use the same value.
const WriteWindow int64 = 10000

// Verdict says whether a write was accepted, or why not. Every reader reaches
// the same verdict.
type Verdict string

// Verdicts on a write.
const (
	Accepted     Verdict = "accepted"
	StaleVersion Verdict = "stale_version" // the path changed after Write.AsOf
	TooLate      Verdict = "too_late"      // the write's offset is more than WriteWindow above Write.AsOf
	Malformed    Verdict = "malformed"
)

// DecidedWrite is a write with its offset in the log and the verdict on it.
type DecidedWrite struct {
	Offset  int64
	Write   Write
	Verdict Verdict
}

// tombstone remembers the deletion of a path.
type tombstone struct {
	path    string
	version int64 // offset of the deletion
}

// State is the result of applying all records up to an offset. It is not safe
// for concurrent use; the snapshots that it returns are.
type State struct {
	window     int64
	snapshot   *Snapshot
	deleted    map[string]int64 // version of each deleted path that is remembered
	tombstones []tombstone      // by ascending version; one is obsolete if deleted holds another version, or none, for its path
}

// NewState returns the state before the first record.
func NewState() *State { return newState(WriteWindow) }

func newState(window int64) *State {
	return &State{window: window, snapshot: NewSnapshot(NoOffset, nil), deleted: map[string]int64{}}
}

// Snapshot returns the settings at the state's offset.
func (s *State) Snapshot() *Snapshot { return s.snapshot }

// Offset returns the offset of the last record applied.
func (s *State) Offset() int64 { return s.snapshot.Offset() }

// Apply applies the record at the next offset. It returns the write with its
// verdict, or nil for a record without a write. It fails if offset is not the
// next one; the state is then unchanged.
func (s *State) Apply(offset int64, record Record) (*DecidedWrite, error) {
	if offset != s.Offset()+1 {
		return nil, errors.Errorf("apply settings: record at offset %d after offset %d", offset, s.Offset())
	}
	var decided *DecidedWrite
	if write := record.Write; write != nil {
		decided = &DecidedWrite{Offset: offset, Write: *write, Verdict: s.decide(offset, write)}
	}
	if decided != nil && decided.Verdict == Accepted {
		s.applyWrite(offset, decided.Write)
	}
	s.snapshot = s.snapshot.withOffset(offset)
	s.dropTombstones()
	return decided, nil
}

// decide returns the verdict on a write at an offset.
func (s *State) decide(offset int64, write *Write) Verdict {
	switch {
	case !wellFormed(offset, write):
		return Malformed
	case offset-write.AsOf > s.window:
		return TooLate
	case s.Version(write.Path) > write.AsOf:
		return StaleVersion
	default:
		return Accepted
	}
}

// wellFormed reports whether a write is valid as far as this does not depend on the
// state.
func wellFormed(offset int64, write *Write) bool {
	switch {
	case write.Operation == "" || len(write.Operation) > MaxOperationBytes:
		return false
	case len(write.Author) > MaxAuthorBytes:
		return false
	case !ValidPath(write.Path):
		return false
	case write.AsOf < NoOffset || write.AsOf >= offset:
		return false
	case write.Deleted:
		return len(write.Value) == 0
	default:
		return len(write.Value) > 0 && len(write.Value) <= MaxValueBytes
	}
}

// Version returns the offset of the last accepted write of a path, or NoOffset
// if there is none. It counts deletions of the last WriteWindow offsets.
func (s *State) Version(path string) int64 {
	if entry, ok := s.snapshot.Get(path); ok {
		return entry.Version
	}
	if version, ok := s.deleted[path]; ok {
		return version
	}
	return NoOffset
}

// applyWrite changes the state by an accepted write.
func (s *State) applyWrite(offset int64, write Write) {
	if write.Deleted {
		s.snapshot = s.snapshot.withoutPath(write.Path)
		s.addTombstone(write.Path, offset)
		return
	}
	delete(s.deleted, write.Path)
	s.snapshot = s.snapshot.withEntry(Entry{
		Path:    write.Path,
		Version: offset,
		Value:   write.Value,
		Author:  write.Author,
	})
}

// addTombstone remembers a deletion. It must be called in ascending order of
// version.
func (s *State) addTombstone(path string, version int64) {
	s.deleted[path] = version
	s.tombstones = append(s.tombstones, tombstone{path: path, version: version})
}

// dropTombstones drops the tombstones whose version is more than the window below
// the state's offset. They are not needed any more: a write whose author had read a state before
// such a deletion is rejected as TooLate.
func (s *State) dropTombstones() {
	dropped := 0
	for _, t := range s.tombstones {
		if s.Offset()-t.version <= s.window {
			break
		}
		if s.deleted[t.path] == t.version {
			delete(s.deleted, t.path)
		}
		dropped++
	}
	s.tombstones = s.tombstones[dropped:]
}

// CheckWrite reports what makes a write malformed, before it is appended.
func CheckWrite(write *Write) error {
	switch {
	case !ValidPath(write.Path):
		return errors.Errorf("path %.80q: want /name/name/… of at most %d bytes", write.Path, MaxPathBytes)
	case write.Deleted && len(write.Value) > 0:
		return errors.Errorf("path %s: a deletion carries no value", write.Path)
	case !write.Deleted && len(write.Value) == 0:
		return errors.Errorf("path %s: no value", write.Path)
	case len(write.Value) > MaxValueBytes:
		return errors.Errorf("path %s: value of %d bytes, want at most %d", write.Path, len(write.Value), MaxValueBytes)
	case !wellFormed(write.AsOf+1, write):
		return errors.Errorf("path %s: operation or author is empty or too long", write.Path)
	default:
		return nil
	}
}
