package settings

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"hash"
	"sort"

	"github.com/pkg/errors"
)

// chunkBytes is the size above which a chunk of a checkpoint is full.
const chunkBytes = 256 << 10

// CheckpointEntry is one path of the state in a checkpoint.
type CheckpointEntry struct {
	Path    string          `json:"path"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Author  string          `json:"author,omitempty"`
	Deleted bool            `json:"deleted,omitempty"` // a deletion that is still remembered
}

// CheckpointChunk is a part of a checkpoint.
type CheckpointChunk struct {
	Checkpoint string            `json:"checkpoint"` // unique id of the checkpoint
	Base       int64             `json:"base"`       // offset of the state
	Index      int               `json:"index"`      // from 0
	Entries    []CheckpointEntry `json:"entries"`
}

// CheckpointClose ends a checkpoint. A checkpoint counts only with it and all chunks.
type CheckpointClose struct {
	Checkpoint string `json:"checkpoint"`
	Base       int64  `json:"base"`
	Chunks     int    `json:"chunks"`
	Hash       string `json:"hash"`             // hex, see State.Hash
	First      int64  `json:"first"`            // offset in the stream of chunks from which to read them
	End        int64  `json:"end"`              // offset behind the last chunk
	UnixMS     int64  `json:"unix_ms"`          // author's time, for the pace of checkpoints only
	Author     string `json:"author,omitempty"` // node
}

// Entries returns the exact state in canonical order: live paths in path
// order, then remembered deletions in order of version.
func (s *State) Entries() []CheckpointEntry {
	return s.entriesSince(NoOffset)
}

// entriesSince returns the paths that changed after an offset.
func (s *State) entriesSince(offset int64) []CheckpointEntry {
	changed := s.snapshot.ChangedSince(offset)
	entries := make([]CheckpointEntry, 0, len(changed)+len(s.deleted))
	for _, entry := range changed {
		entries = append(entries, CheckpointEntry{
			Path: entry.Path, Version: entry.Version, Value: entry.Value, Author: entry.Author,
		})
	}
	for _, t := range s.tombstones {
		if t.version > offset && s.deleted[t.path] == t.version {
			entries = append(entries, CheckpointEntry{Path: t.path, Version: t.version, Deleted: true})
		}
	}
	return entries
}

// Hash returns the hex SHA-256 of the exact state.
func (s *State) Hash() string {
	return hashEntries(s.Offset(), s.Entries())
}

// hashEntries hashes a state in canonical order.
func hashEntries(base int64, entries []CheckpointEntry) string {
	digest := sha256.New()
	writeNumber(digest, base)
	for i := range entries {
		entry := &entries[i]
		writeText(digest, entry.Path)
		writeNumber(digest, entry.Version)
		writeText(digest, string(entry.Value))
		writeText(digest, entry.Author)
		if entry.Deleted {
			writeNumber(digest, 1)
		} else {
			writeNumber(digest, 0)
		}
	}
	return hex.EncodeToString(digest.Sum(nil))
}

func writeNumber(digest hash.Hash, number int64) {
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], uint64(number))
	digest.Write(buffer[:])
}

func writeText(digest hash.Hash, text string) {
	writeNumber(digest, int64(len(text)))
	digest.Write([]byte(text))
}

// Checkpoint returns the chunks of a checkpoint of the state under an id, and
// the record that closes it. The caller fills in where the chunks landed.
func (s *State) Checkpoint(id string) ([]CheckpointChunk, CheckpointClose) {
	entries := s.Entries()
	var chunks []CheckpointChunk
	for first := 0; first < len(entries); {
		next := chunkEnd(entries, first)
		chunks = append(chunks, CheckpointChunk{
			Checkpoint: id, Base: s.Offset(), Index: len(chunks), Entries: entries[first:next],
		})
		first = next
	}
	return chunks, CheckpointClose{
		Checkpoint: id, Base: s.Offset(), Chunks: len(chunks), Hash: hashEntries(s.Offset(), entries),
	}
}

// chunkEnd returns the end of the chunk that starts at an index.
func chunkEnd(entries []CheckpointEntry, first int) int {
	size := 0
	for i := first; i < len(entries); i++ {
		size += len(entries[i].Path) + len(entries[i].Value) + len(entries[i].Author)
		if size > chunkBytes && i > first {
			return i
		}
	}
	return len(entries)
}

// Restore returns the state that a checkpoint holds. The chunks may come in
// any order and more than once. It fails if one is missing or the hash differs.
func Restore(end *CheckpointClose, chunks []CheckpointChunk) (*State, error) {
	return restore(WriteWindow, end, chunks)
}

func restore(window int64, end *CheckpointClose, chunks []CheckpointChunk) (*State, error) {
	byIndex := make(map[int]CheckpointChunk, len(chunks))
	for _, chunk := range chunks {
		if chunk.Checkpoint == end.Checkpoint && chunk.Base == end.Base {
			byIndex[chunk.Index] = chunk
		}
	}
	var entries []CheckpointEntry
	for index := range end.Chunks {
		chunk, ok := byIndex[index]
		if !ok {
			return nil, errors.Errorf("restore checkpoint %s: chunk %d of %d is missing", end.Checkpoint, index, end.Chunks)
		}
		entries = append(entries, chunk.Entries...)
	}
	if found := hashEntries(end.Base, entries); found != end.Hash {
		return nil, errors.Errorf("restore checkpoint %s: hash is %s, want %s", end.Checkpoint, found, end.Hash)
	}
	return fromEntries(window, end.Base, entries), nil
}

// fromEntries builds the state at an offset from all its entries.
func fromEntries(window, offset int64, entries []CheckpointEntry) *State {
	s := newState(window)
	live := make([]Entry, 0, len(entries))
	var deleted []tombstone
	for _, entry := range entries {
		if entry.Deleted {
			deleted = append(deleted, tombstone{path: entry.Path, version: entry.Version})
			continue
		}
		live = append(live, Entry{Path: entry.Path, Version: entry.Version, Value: entry.Value, Author: entry.Author})
	}
	s.snapshot = NewSnapshot(offset, live)
	sort.Slice(deleted, func(i, j int) bool { return deleted[i].version < deleted[j].version })
	for _, t := range deleted {
		s.bury(t.path, t.version)
	}
	s.forget()
	return s
}
