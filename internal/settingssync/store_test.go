package settingssync

import (
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/settings"
)

// writeAt returns the record at an offset of operation "op", a write of /a as of
// the empty state.
func writeAt(offset int64) decodedRecord {
	return decodedRecord{offset: offset, record: settings.Record{Write: &settings.Write{
		Operation: "op", Path: "/a", Value: []byte("1"), AsOf: settings.NoOffset,
	}}}
}

func TestRepeatIsNotTreatedAsFirstCopy(t *testing.T) {
	peer := newStore()
	peer.install(settings.NewState(), settings.NoOffset, nil)
	_, _, err := peer.apply([]decodedRecord{writeAt(0)})
	assert.NilError(t, err)

	s := newStore()
	s.install(settings.NewState(), settings.NoOffset, nil)
	decisions := s.subscribe("op")
	delta, _ := peer.deltaFrom(settings.NoOffset)
	advanced, err := s.advance(delta)
	assert.NilError(t, err)
	assert.Assert(t, advanced)
	_, rejected, err := s.apply([]decodedRecord{writeAt(1)})
	assert.NilError(t, err)
	assert.Equal(t, rejected, 1)
	assert.Equal(t, resultOf(<-decisions).Status, Unknown)
	remembered, ok := s.decision("op")
	assert.Assert(t, ok)
	assert.Equal(t, resultOf(remembered).Status, Unknown)
}
