package settingssync

import (
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/settings"
)

// landed is the operation "op", a write of /a as of the empty state, that landed
// at an offset.
func landed(offset int64) numbered {
	return numbered{offset: offset, record: settings.Record{Write: &settings.Write{
		Operation: "op", Path: "/a", Value: []byte("1"), AsOf: settings.NoOffset,
	}}}
}

func TestARepeatIsNotTakenForTheFirstLanding(t *testing.T) {
	peer := newStore()
	peer.install(settings.NewState(), settings.NoOffset, nil)
	_, _, err := peer.apply([]numbered{landed(0)})
	assert.NilError(t, err)

	s := newStore()
	s.install(settings.NewState(), settings.NoOffset, nil)
	waiter := s.await("op")
	delta, _ := peer.deltaFrom(settings.NoOffset)
	moved, err := s.advance(delta)
	assert.NilError(t, err)
	assert.Assert(t, moved)
	_, rejected, err := s.apply([]numbered{landed(1)})
	assert.NilError(t, err)
	assert.Equal(t, rejected, 1)
	assert.Equal(t, judgedResult(<-waiter).Status, Unknown)
	remembered, ok := s.verdict("op")
	assert.Assert(t, ok)
	assert.Equal(t, judgedResult(remembered).Status, Unknown)
}
