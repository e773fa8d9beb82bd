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

// maxChunkBytes bounds the entries of one chunk: their paths, values and
// authors. A chunk of a single entry may be larger.
const maxChunkBytes = 256 << 10

// CheckpointEntry is one path of the state in a checkpoint.
type CheckpointEntry struct {
	Path    string          `json:"path"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Author  string          `json:"author,omitempty"`
	Deleted bool            `json:"deleted,omitempty"` // the entry is a tombstone
}

// CheckpointChunk holds some of the entries of a checkpoint.
type CheckpointChunk struct {
	Checkpoint string            `json:"checkpoint"` // unique ID of the checkpoint
	Base       int64             `json:"base"`       // offset of the state in the checkpoint
	Index      int               `json:"index"`      // from 0
	Entries    []CheckpointEntry `json:"entries"`
}

// CheckpointClose is the record that ends a checkpoint. A checkpoint can be
// restored only with this record and all its chunks.
type CheckpointClose struct {
	Checkpoint string `json:"checkpoint"`
	Base       int64  `json:"base"`             // offset of the state in the checkpoint
	Chunks     int    `json:"chunks"`           // number of chunks
	Hash       string `json:"hash"`             // hex, see State.Hash
	First      int64  `json:"first"`            // offset in the checkpoint stream from which to read the chunks
	End        int64  `json:"end"`              // offset in the checkpoint stream after the last chunk
	UnixMS     int64  `json:"unix_ms"`          // clock of the author; only decides when the next checkpoint is due
	Author     string `json:"author,omitempty"` // name of the node that wrote the checkpoint
}

// Entries returns the whole state in canonical order: existing paths in path
// order, then tombstones in order of version.
func (s *State) Entries() []CheckpointEntry {
	return s.entriesSince(NoOffset)
}

// entriesSince returns the entries with a version above offset, in the same
// order as Entries.
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

// Hash returns the hex SHA-256 of the state's offset and entries.
func (s *State) Hash() string {
	return hashEntries(s.Offset(), s.Entries())
}

// hashEntries returns the hex SHA-256 of a state's offset and its entries in
// canonical order.
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

// Checkpoint returns the chunks of a checkpoint of the state and the record
// that closes it. The caller fills in First and End, UnixMS and Author.
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

// chunkEnd returns the index after the last entry of the chunk that starts at
// index first.
func chunkEnd(entries []CheckpointEntry, first int) int {
	size := 0
	for i := first; i < len(entries); i++ {
		size += len(entries[i].Path) + len(entries[i].Value) + len(entries[i].Author)
		if size > maxChunkBytes && i > first {
			return i
		}
	}
	return len(entries)
}

// Restore returns the state of a checkpoint. The chunks may come in any order,
// more than once, and mixed with those of other checkpoints. Restore fails if
// a chunk is missing or the hash differs.
func Restore(closing *CheckpointClose, chunks []CheckpointChunk) (*State, error) {
	return restore(WriteWindow, closing, chunks)
}

func restore(window int64, closing *CheckpointClose, chunks []CheckpointChunk) (*State, error) {
	byIndex := make(map[int]CheckpointChunk, len(chunks))
	for _, chunk := range chunks {
		if chunk.Checkpoint == closing.Checkpoint && chunk.Base == closing.Base {
			byIndex[chunk.Index] = chunk
		}
	}
	var entries []CheckpointEntry
	for index := range closing.Chunks {
		chunk, ok := byIndex[index]
		if !ok {
			return nil, errors.Errorf("restore checkpoint %s: chunk %d of %d is missing", closing.Checkpoint, index, closing.Chunks)
		}
		entries = append(entries, chunk.Entries...)
	}
	if found := hashEntries(closing.Base, entries); found != closing.Hash {
		return nil, errors.Errorf("restore checkpoint %s: hash is %s, want %s", closing.Checkpoint, found, closing.Hash)
	}
	return stateFromEntries(window, closing.Base, entries), nil
}

// stateFromEntries returns the state at offset that has exactly these entries.
func stateFromEntries(window, offset int64, entries []CheckpointEntry) *State {
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
		s.addTombstone(t.path, t.version)
	}
	s.dropTombstones()
	return s
}
