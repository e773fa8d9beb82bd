package settings

import (
	"sort"
	"strings"
)

// NoOffset is the offset of a reader that holds no settings yet.
const NoOffset int64 = -1

// Entry is one path with its last accepted value.
type Entry struct {
	Path    string
	Version int64  // offset of the last accepted record of this path
	Value   []byte // JSON
	Author  string
}

// Snapshot is the immutable state of all settings at one offset.
type Snapshot struct {
	offset  int64
	entries map[string]Entry
	paths   []string // sorted
}

// NewSnapshot returns the snapshot of entries at offset. It keeps no reference
// to the slice, but shares the values.
func NewSnapshot(offset int64, entries []Entry) *Snapshot {
	s := &Snapshot{offset: offset, entries: make(map[string]Entry, len(entries))}
	for _, entry := range entries {
		s.entries[entry.Path] = entry
	}
	s.paths = make([]string, 0, len(s.entries))
	for path := range s.entries {
		s.paths = append(s.paths, path)
	}
	sort.Strings(s.paths)
	return s
}

// Offset returns the offset of the last record that the snapshot contains.
func (s *Snapshot) Offset() int64 { return s.offset }

// Get returns the entry at path.
func (s *Snapshot) Get(path string) (Entry, bool) {
	entry, ok := s.entries[path]
	return entry, ok
}

// List returns the entries at and below prefix in path order.
func (s *Snapshot) List(prefix string) []Entry {
	prefix = strings.TrimSuffix(prefix, "/")
	var found []Entry
	first := sort.SearchStrings(s.paths, prefix)
	for _, path := range s.paths[first:] {
		if !strings.HasPrefix(path, prefix) {
			break
		}
		if path == prefix || prefix == "" || path[len(prefix)] == '/' {
			found = append(found, s.entries[path])
		}
	}
	return found
}
