package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

// history returns the states at consecutive offsets from 0: after two writes
// and a deletion of one path, then after a number of records without a write.
func history(t *testing.T, window int64, others int) []*State {
	t.Helper()
	f := newFixture(t, window)
	var states []*State
	for _, value := range []string{"1", "2", ""} {
		assert.Equal(t, f.write("/a", value, f.state.Offset()), Accepted)
		states = append(states, f.state.Clone())
	}
	for range others {
		f.otherRecords(1)
		states = append(states, f.state.Clone())
	}
	return states
}

func TestDeltaFromEarlierOffsetLeadsToSameState(t *testing.T) {
	states := history(t, 10, 2)
	for from := range states {
		for at := from; at < 4; at++ {
			next, err := states[at].Advance(states[4].DeltaFrom(int64(from)))
			assert.NilError(t, err)
			assert.Equal(t, next.Hash(), states[4].Hash(), "from %d at %d", from, at)
		}
	}
}

func TestDeltaAcrossDroppedTombstonesHoldsWholeState(t *testing.T) {
	states := history(t, 2, 4)
	delta := states[6].DeltaFrom(1)
	assert.Equal(t, delta.From, NoOffset)
	next, err := states[1].Advance(delta)
	assert.NilError(t, err)
	assert.Equal(t, next.Hash(), states[6].Hash())
	assert.Equal(t, next.Snapshot().Len(), 0)
}

func TestDeltaWithGapOrEarlierOffsetIsRefused(t *testing.T) {
	states := history(t, 10, 2)
	_, err := states[0].Advance(states[4].DeltaFrom(2))
	assert.ErrorContains(t, err, "delta from offset 2 leaves a gap after offset 0")
	_, err = states[4].Advance(states[2].DeltaFrom(0))
	assert.ErrorContains(t, err, "not above")
}

func TestDeltaWithImpossibleEntriesIsRefused(t *testing.T) {
	for name, entry := range map[string]CheckpointEntry{
		"later version":  {Path: "/a", Version: 5, Value: []byte("1")},
		"no version":     {Path: "/a", Version: NoOffset, Value: []byte("1")},
		"no path":        {Version: 1, Value: []byte("1")},
		"no value":       {Path: "/a", Version: 1},
		"deleted value":  {Path: "/a", Version: 1, Value: []byte("1"), Deleted: true},
		"malformed path": {Path: "/a//b", Version: 1, Value: []byte("1")},
	} {
		delta := Delta{From: NoOffset, To: 4, Entries: []CheckpointEntry{entry}}
		_, err := FromDelta(delta)
		assert.ErrorContains(t, err, "settings up to offset 4", name)
		_, err = NewState().Advance(delta)
		assert.ErrorContains(t, err, "settings up to offset 4", name)
	}
}
