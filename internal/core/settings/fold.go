package settings

import (
	"github.com/pkg/errors"
)

// WriteWindow is the number of offsets within which a write must land after the
// state that its author had read, and for which a deletion is remembered. All
// nodes must agree on it.
const WriteWindow int64 = 10000

// Verdict is the outcome of a write, the same at every reader.
type Verdict string

// Verdicts on a write.
const (
	Accepted     Verdict = "accepted"
	StaleVersion Verdict = "stale_version" // the path changed after the as-of offset
	TooLate      Verdict = "too_late"      // landed more than Window offsets after its as-of offset
	Malformed    Verdict = "malformed"
)

// DecidedWrite is a write with its offset and verdict.
type DecidedWrite struct {
	Offset  int64
	Write   Write
	Verdict Verdict
}

// tombstone remembers a deletion.
type tombstone struct {
	path    string
	version int64
}

// State folds records in offset order. It is not safe for concurrent use; the
// snapshots it hands out are.
type State struct {
	window     int64
	snapshot   *Snapshot
	deleted    map[string]int64 // version of deleted paths
	tombstones []tombstone      // in order of version; may hold superseded ones
}

// NewState returns the state before the first record.
func NewState() *State { return newState(WriteWindow) }

func newState(window int64) *State {
	return &State{window: window, snapshot: NewSnapshot(NoOffset, nil), deleted: map[string]int64{}}
}

// Snapshot returns the settings at the state's offset.
func (s *State) Snapshot() *Snapshot { return s.snapshot }

// Offset returns the offset of the last record folded.
func (s *State) Offset() int64 { return s.snapshot.Offset() }

// Apply folds the record at the next offset. It returns the write with its
// verdict, or nil for a record that is no write. An error reports that offset
// is not the next one; the state is then unchanged.
func (s *State) Apply(offset int64, record Record) (*DecidedWrite, error) {
	if offset != s.Offset()+1 {
		return nil, errors.Errorf("fold settings: record at offset %d after offset %d", offset, s.Offset())
	}
	var judged *DecidedWrite
	if write := record.Write; write != nil {
		judged = &DecidedWrite{Offset: offset, Write: *write, Verdict: s.judge(offset, write)}
	}
	if judged != nil && judged.Verdict == Accepted {
		s.set(offset, judged.Write)
	}
	s.snapshot = s.snapshot.at(offset)
	s.forget()
	return judged, nil
}

// judge gives the verdict on a write at an offset.
func (s *State) judge(offset int64, write *Write) Verdict {
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

// wellFormed checks what does not depend on the state.
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

// Version returns the offset of the last accepted record of a path, deletions
// of the last Window offsets included, or NoOffset.
func (s *State) Version(path string) int64 {
	if entry, ok := s.snapshot.Get(path); ok {
		return entry.Version
	}
	if version, ok := s.deleted[path]; ok {
		return version
	}
	return NoOffset
}

// set carries out an accepted write.
func (s *State) set(offset int64, write Write) {
	if write.Deleted {
		s.snapshot = s.snapshot.without(write.Path)
		s.bury(write.Path, offset)
		return
	}
	delete(s.deleted, write.Path)
	s.snapshot = s.snapshot.with(Entry{
		Path:    write.Path,
		Version: offset,
		Value:   write.Value,
		Author:  write.Author,
	})
}

// bury remembers a deletion. Versions must come in ascending order.
func (s *State) bury(path string, version int64) {
	s.deleted[path] = version
	s.tombstones = append(s.tombstones, tombstone{path: path, version: version})
}

// forget drops deletions that no write can repeat any more: each later write
// with an older as-of offset lands outside the window.
func (s *State) forget() {
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

// CheckWrite reports what is wrong with a write before it is appended.
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
