package settings

import (
	"iter"
	"sort"
	"strings"
)

// NoOffset is the offset of the state before the first record, and of a reader
// that has no settings yet.
const NoOffset int64 = -1

// Entry is one path with its last accepted value.
type Entry struct {
	Path    string
	Version int64  // offset of the last accepted write of this path
	Value   []byte // JSON
	Author  string
}

// maxBlockEntries is the size above which a block is split.
const maxBlockEntries = 256

// block is a sorted run of entries. It is immutable once published.
type block struct {
	entries    []Entry
	maxVersion int64 // highest version of any entry that the block ever held
}

// Snapshot is the immutable state of all settings at one offset. Successive
// snapshots share the blocks that did not change.
type Snapshot struct {
	offset int64
	blocks []*block // in path order, none empty
	count  int      // entries in all blocks
}

// NewSnapshot returns the snapshot of entries at offset. It copies the slice,
// but not the values.
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

// appendLast adds an entry after all others to a snapshot under construction.
func (s *Snapshot) appendLast(entry Entry) {
	last := len(s.blocks) - 1
	if last < 0 || len(s.blocks[last].entries) >= maxBlockEntries/2 {
		s.blocks = append(s.blocks, &block{maxVersion: NoOffset})
		last++
	}
	s.blocks[last].entries = append(s.blocks[last].entries, entry)
	s.blocks[last].maxVersion = max(s.blocks[last].maxVersion, entry.Version)
	s.count++
}

// Offset returns the offset of the last record that the snapshot contains.
func (s *Snapshot) Offset() int64 { return s.offset }

// Len returns the number of paths.
func (s *Snapshot) Len() int { return s.count }

// Get returns the entry at path.
func (s *Snapshot) Get(path string) (Entry, bool) {
	index := s.blockIndex(path)
	if index < 0 {
		return Entry{}, false
	}
	entries := s.blocks[index].entries
	i := searchEntries(entries, path)
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
	for index := max(s.blockIndex(prefix), 0); index < len(s.blocks); index++ {
		entries := s.blocks[index].entries
		for _, entry := range entries[searchEntries(entries, prefix):] {
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
		if b.maxVersion <= offset {
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

// searchEntries returns the index of the first entry whose path sorts at or
// after path.
func searchEntries(entries []Entry, path string) int {
	return sort.Search(len(entries), func(i int) bool { return entries[i].Path >= path })
}

// blockIndex returns the index of the block that holds path or would hold it,
// or -1 if path sorts before all blocks or there are none.
func (s *Snapshot) blockIndex(path string) int {
	after := sort.Search(len(s.blocks), func(i int) bool { return s.blocks[i].entries[0].Path > path })
	return after - 1
}

// withOffset returns the same settings at another offset.
func (s *Snapshot) withOffset(offset int64) *Snapshot {
	return &Snapshot{offset: offset, blocks: s.blocks, count: s.count}
}

// withEntry returns the snapshot with one entry added or replaced.
func (s *Snapshot) withEntry(entry Entry) *Snapshot {
	index := s.blockIndex(entry.Path)
	if index < 0 {
		if len(s.blocks) == 0 {
			return &Snapshot{offset: s.offset, count: 1, blocks: []*block{{entries: []Entry{entry}, maxVersion: entry.Version}}}
		}
		index = 0
	}
	old := s.blocks[index]
	i := searchEntries(old.entries, entry.Path)
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
	return &Snapshot{offset: s.offset, count: count, blocks: s.replaceBlock(index, splitBlock(entries, max(old.maxVersion, entry.Version)))}
}

// withoutPath returns the snapshot without the entry of one path.
func (s *Snapshot) withoutPath(path string) *Snapshot {
	if _, ok := s.Get(path); !ok {
		return s
	}
	index := s.blockIndex(path)
	old := s.blocks[index]
	i := searchEntries(old.entries, path)
	var blocks []*block
	if len(old.entries) > 1 {
		entries := make([]Entry, 0, len(old.entries)-1)
		entries = append(entries, old.entries[:i]...)
		entries = append(entries, old.entries[i+1:]...)
		blocks = []*block{{entries: entries, maxVersion: old.maxVersion}}
	}
	return &Snapshot{offset: s.offset, count: s.count - 1, blocks: s.replaceBlock(index, blocks)}
}

// splitBlock returns the entries as one block, or as two if there are more than
// maxBlockEntries.
func splitBlock(entries []Entry, maxVersion int64) []*block {
	if len(entries) <= maxBlockEntries {
		return []*block{{entries: entries, maxVersion: maxVersion}}
	}
	half := len(entries) / 2
	return []*block{
		{entries: entries[:half:half], maxVersion: maxVersion},
		{entries: entries[half:], maxVersion: maxVersion},
	}
}

// replaceBlock returns the list of blocks with the one at index replaced by any
// number of others.
func (s *Snapshot) replaceBlock(index int, replacement []*block) []*block {
	blocks := make([]*block, 0, len(s.blocks)+1)
	blocks = append(blocks, s.blocks[:index]...)
	blocks = append(blocks, replacement...)
	return append(blocks, s.blocks[index+1:]...)
}
