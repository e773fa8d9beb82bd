package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSnapshotListsOnlyTheSubtree(t *testing.T) {
	s := NewSnapshot(7, []Entry{
		{Path: "/teams/a"},
		{Path: "/teams/a/models/m"},
		{Path: "/teams/a-b"},
		{Path: "/teams/b"},
	})
	var paths []string
	for _, entry := range s.List("/teams/a") {
		paths = append(paths, entry.Path)
	}
	assert.DeepEqual(t, paths, []string{"/teams/a", "/teams/a/models/m"})
	assert.Equal(t, len(s.List("/")), 4)
}
