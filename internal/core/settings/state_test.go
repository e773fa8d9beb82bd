package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// fixture applies records to a state at consecutive offsets.
type fixture struct {
	t     *testing.T
	state *State
}

func newFixture(t *testing.T, window int64) *fixture {
	return &fixture{t: t, state: newState(window)}
}

// write applies one write and returns the verdict.
func (f *fixture) write(path, value string, asOf int64) Verdict {
	f.t.Helper()
	write := &Write{Operation: "op", Path: path, Value: []byte(value), Deleted: value == "", AsOf: asOf}
	decided, err := f.state.Apply(f.state.Offset()+1, Record{Write: write})
	assert.NilError(f.t, err)
	return decided.Verdict
}

// otherRecords applies records without a write.
func (f *fixture) otherRecords(count int) {
	for range count {
		_, err := f.state.Apply(f.state.Offset()+1, Record{})
		assert.NilError(f.t, err)
	}
}

func TestWriteIsStaleOnceItsPathHasChanged(t *testing.T) {
	f := newFixture(t, 10)
	assert.Equal(t, f.write("/a", "1", -1), Accepted)
	assert.Equal(t, f.write("/a", "2", -1), StaleVersion)
	assert.Equal(t, f.write("/b", "2", -1), Accepted)
	assert.Equal(t, f.write("/a", "2", 0), Accepted)
	assert.Equal(t, f.state.Version("/a"), int64(3))
}

func TestLateRepeatDoesNotRestoreDeletedPath(t *testing.T) {
	f := newFixture(t, 3)
	assert.Equal(t, f.write("/a", "1", -1), Accepted)
	assert.Equal(t, f.write("/a", "", 0), Accepted)
	assert.Equal(t, f.write("/a", "1", -1), StaleVersion)
	f.otherRecords(5)
	assert.Equal(t, f.state.Version("/a"), NoOffset)
	assert.Equal(t, f.write("/a", "1", -1), TooLate)
	assert.Equal(t, f.write("/a", "1", f.state.Offset()), Accepted)
}

func TestMalformedWritesAreRefused(t *testing.T) {
	good := Write{Operation: "op", Path: "/a/b", Value: []byte("1"), AsOf: -1}
	for name, breakWrite := range map[string]func(*Write){
		"no operation":           func(w *Write) { w.Operation = "" },
		"no path":                func(w *Write) { w.Path = "" },
		"relative path":          func(w *Write) { w.Path = "a" },
		"empty segment":          func(w *Write) { w.Path = "/a//b" },
		"parent segment":         func(w *Write) { w.Path = "/a/../b" },
		"control character":      func(w *Write) { w.Path = "/a\x00" },
		"long path":              func(w *Write) { w.Path = "/" + strings.Repeat("a", MaxPathBytes) },
		"no value":               func(w *Write) { w.Value = nil },
		"large value":            func(w *Write) { w.Value = make([]byte, MaxValueBytes+1) },
		"deleted value":          func(w *Write) { w.Deleted = true },
		"as of the write itself": func(w *Write) { w.AsOf = 0 },
		"long author":            func(w *Write) { w.Author = strings.Repeat("a", MaxAuthorBytes+1) },
	} {
		write := good
		breakWrite(&write)
		state := NewState()
		decided, err := state.Apply(0, Record{Write: &write})
		assert.NilError(t, err)
		assert.Equal(t, decided.Verdict, Malformed, name)
	}
	assert.NilError(t, CheckWrite(&good))
}

func TestApplyTakesOnlyTheNextOffset(t *testing.T) {
	_, err := NewState().Apply(1, Record{})
	assert.ErrorContains(t, err, "offset 1 after offset -1")
}

func TestCheckpointWithMissingOrChangedChunkIsRefused(t *testing.T) {
	f := newFixture(t, 10)
	big := `"` + strings.Repeat("x", MaxValueBytes-2) + `"`
	for _, path := range []string{"/a", "/b", "/c", "/d", "/e", "/f"} {
		assert.Equal(t, f.write(path, big, f.state.Offset()), Accepted)
	}
	chunks, closing := f.state.Checkpoint("id")
	assert.Equal(t, len(chunks), 2)
	restored, err := Restore(&closing, []CheckpointChunk{chunks[1], chunks[0], chunks[1]})
	assert.NilError(t, err)
	assert.Equal(t, restored.Hash(), f.state.Hash())
	_, err = Restore(&closing, chunks[:1])
	assert.ErrorContains(t, err, "chunk 1 of 2 is missing")
	chunks[1].Entries = chunks[1].Entries[1:]
	_, err = Restore(&closing, chunks)
	assert.ErrorContains(t, err, "hash is")
}

func TestSnapshotOfManyPathsStaysSortedWhileItChanges(t *testing.T) {
	state := NewState()
	pathOf := func(i int) string { return "/p/" + string(rune('a'+i%26)) + strings.Repeat("z", i%41) }
	for i := range 3000 {
		write := &Write{Operation: "op", Path: pathOf(i), Value: []byte("1"), AsOf: state.Offset()}
		write.Deleted = i%7 == 3
		if write.Deleted {
			write.Value = nil
		}
		_, err := state.Apply(int64(i), Record{Write: write})
		assert.NilError(t, err)
	}
	entries := state.Snapshot().List("/")
	assert.Equal(t, len(entries), state.Snapshot().Len())
	for i := 1; i < len(entries); i++ {
		assert.Assert(t, entries[i-1].Path < entries[i].Path)
	}
	rebuilt := NewSnapshot(state.Offset(), entries)
	assert.DeepEqual(t, rebuilt.List("/"), entries)
}
