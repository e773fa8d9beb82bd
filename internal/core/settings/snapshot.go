package settings

import (
	"iter"
	"sort"
	"strings"
)

// NoOffset is the offset of a reader that holds no settings yet, and of the
// state before the first record.
const NoOffset int64 = -1

// Entry is one path with its last accepted value.
type Entry struct {
	Path    string
	Version int64  // offset of the last accepted record of this path
	Value   []byte // JSON
	Author  string
}

// blockEntries is the number of entries above which a block is split.
const blockEntries = 256

// block is a sorted run of entries. It is immutable once published.
type block struct {
	entries []Entry
	newest  int64 // highest version of the entries, ever
}

// Snapshot is the immutable state of all settings at one offset. Snapshots of
// neighbouring offsets share all blocks that did not change.
type Snapshot struct {
	offset int64
	blocks []*block // none empty, in path order
	count  int
}

// NewSnapshot returns the snapshot of entries at offset. It keeps no reference
// to the slice, but shares the values.
func NewSnapshot(offset int64, entries []Entry) *Snapshot {
	sorted := append([]Entry(nil), entries...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Path < sorted[j].Path })
	s := &Snapshot{offset: offset}
	for i := range sorted {
		if i+1 < len(sorted) && sorted[i+1].Path == sorted[i].Path {
			continue // the last entry of a path wins
		}
		s.appendLast(sorted[i])
	}
	return s
}

// appendLast adds an entry behind all others to a snapshot under construction.
func (s *Snapshot) appendLast(entry Entry) {
	last := len(s.blocks) - 1
	if last < 0 || len(s.blocks[last].entries) >= blockEntries/2 {
		s.blocks = append(s.blocks, &block{newest: NoOffset})
		last++
	}
	s.blocks[last].entries = append(s.blocks[last].entries, entry)
	s.blocks[last].newest = max(s.blocks[last].newest, entry.Version)
	s.count++
}

// Offset returns the offset of the last record that the snapshot contains.
func (s *Snapshot) Offset() int64 { return s.offset }

// Len returns the number of paths.
func (s *Snapshot) Len() int { return s.count }

// Get returns the entry at path.
func (s *Snapshot) Get(path string) (Entry, bool) {
	at := s.blockOf(path)
	if at < 0 {
		return Entry{}, false
	}
	entries := s.blocks[at].entries
	i := search(entries, path)
	if i == len(entries) || entries[i].Path != path {
		return Entry{}, false
	}
	return entries[i], true
}

// All visits all entries in path order.
func (s *Snapshot) All() iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		for _, b := range s.blocks {
			for _, entry := range b.entries {
				if !yield(entry) {
					return
				}
			}
		}
	}
}

// List returns the entries at and below prefix in path order.
func (s *Snapshot) List(prefix string) []Entry {
	prefix = strings.TrimSuffix(prefix, "/")
	var found []Entry
	for at := max(s.blockOf(prefix), 0); at < len(s.blocks); at++ {
		entries := s.blocks[at].entries
		for _, entry := range entries[search(entries, prefix):] {
			if !strings.HasPrefix(entry.Path, prefix) {
				return found
			}
			if InSubtree(entry.Path, prefix) {
				found = append(found, entry)
			}
		}
	}
	return found
}

// ChangedSince returns the entries with a version above offset, in path order.
func (s *Snapshot) ChangedSince(offset int64) []Entry {
	var changed []Entry
	for _, b := range s.blocks {
		if b.newest <= offset {
			continue
		}
		for _, entry := range b.entries {
			if entry.Version > offset {
				changed = append(changed, entry)
			}
		}
	}
	return changed
}

// InSubtree reports whether path is prefix or lies in its subtree.
func InSubtree(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || prefix == "" || path[len(prefix)] == '/'
}

// search returns the index of the first entry whose path is not below path.
func search(entries []Entry, path string) int {
	return sort.Search(len(entries), func(i int) bool { return entries[i].Path >= path })
}

// blockOf returns the index of the block that holds path or would hold it, -1
// if path comes before all blocks or there are none.
func (s *Snapshot) blockOf(path string) int {
	after := sort.Search(len(s.blocks), func(i int) bool { return s.blocks[i].entries[0].Path > path })
	return after - 1
}

// at returns the same settings at another offset.
func (s *Snapshot) at(offset int64) *Snapshot {
	return &Snapshot{offset: offset, blocks: s.blocks, count: s.count}
}

// with returns the snapshot with one entry set.
func (s *Snapshot) with(entry Entry) *Snapshot {
	at := s.blockOf(entry.Path)
	if at < 0 {
		if len(s.blocks) == 0 {
			return &Snapshot{offset: s.offset, count: 1, blocks: []*block{{entries: []Entry{entry}, newest: entry.Version}}}
		}
		at = 0
	}
	old := s.blocks[at]
	i := search(old.entries, entry.Path)
	found := i < len(old.entries) && old.entries[i].Path == entry.Path
	rest := i
	if found {
		rest++
	}
	entries := make([]Entry, 0, len(old.entries)+1)
	entries = append(entries, old.entries[:i]...)
	entries = append(entries, entry)
	entries = append(entries, old.entries[rest:]...)
	count := s.count
	if !found {
		count++
	}
	return &Snapshot{offset: s.offset, count: count, blocks: s.replaced(at, split(entries, max(old.newest, entry.Version)))}
}

// without returns the snapshot without one path.
func (s *Snapshot) without(path string) *Snapshot {
	if _, ok := s.Get(path); !ok {
		return s
	}
	at := s.blockOf(path)
	old := s.blocks[at]
	i := search(old.entries, path)
	var blocks []*block
	if len(old.entries) > 1 {
		entries := make([]Entry, 0, len(old.entries)-1)
		entries = append(entries, old.entries[:i]...)
		entries = append(entries, old.entries[i+1:]...)
		blocks = []*block{{entries: entries, newest: old.newest}}
	}
	return &Snapshot{offset: s.offset, count: s.count - 1, blocks: s.replaced(at, blocks)}
}

// split cuts entries into blocks that are small enough.
func split(entries []Entry, newest int64) []*block {
	if len(entries) <= blockEntries {
		return []*block{{entries: entries, newest: newest}}
	}
	half := len(entries) / 2
	return []*block{
		{entries: entries[:half:half], newest: newest},
		{entries: entries[half:], newest: newest},
	}
}

// replaced returns the list of blocks with the one at an index replaced.
func (s *Snapshot) replaced(at int, by []*block) []*block {
	blocks := make([]*block, 0, len(s.blocks)+1)
	blocks = append(blocks, s.blocks[:at]...)
	blocks = append(blocks, by...)
	return append(blocks, s.blocks[at+1:]...)
}
