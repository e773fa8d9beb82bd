package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

func writeOf(operation, path, value string) Write {
	return Write{Operation: operation, Path: path, Value: []byte(value), AsOf: 1}
}

func TestOnlyLostWritesThatWereInForceAndNotWrittenAnewAreRestored(t *testing.T) {
	known := NewSnapshot(9, nil).
		withEntry(Entry{Path: "/a", Version: 7, Value: []byte("2")}).
		withEntry(Entry{Path: "/b", Version: 8, Value: []byte("1")}).
		withEntry(Entry{Path: "/c", Version: 3, Value: []byte("5")})
	deleted := Write{Operation: "o6", Path: "/d", Deleted: true, AsOf: 1}
	loss := Loss{
		Known: known.withOffset(9),
		Lost: []Write{
			writeOf("o1", "/a", "1"), writeOf("o2", "/a", "2"), writeOf("o3", "/b", "1"),
			writeOf("rejected", "/c", "6"), deleted,
		},
		Present: []Write{writeOf("new", "/b", "4"), writeOf("o1", "/a", "1")},
		Next:    6,
	}
	records := loss.Restore()
	assert.Equal(t, len(records), 4)
	assert.Equal(t, records[0].Write.Operation, "o2", "another node restored only an earlier write")
	assert.Equal(t, records[0].Write.AsOf, int64(5))
	assert.Equal(t, records[1].Write.Operation, "o6")
	assert.Assert(t, records[2].Write == nil && records[3].Write == nil, "offsets must reach those that were read")

	loss.Present = append(loss.Present, writeOf("o2", "/a", "2"), deleted)
	loss.Next = 10
	assert.Equal(t, len(loss.Restore()), 0, "all is restored")
}
