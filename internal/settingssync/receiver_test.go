package settingssync

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/wire"
)

func FuzzReceiver(f *testing.F) {
	entry := &wire.SettingsEntry{Path: "/a", Version: 3, Value: []byte("1")}
	gone := &wire.SettingsEntry{Path: "/a", Version: 9, Deleted: true}
	for _, update := range []*wire.SettingsUpdate{
		{FromOffset: settings.NoOffset, ToOffset: 4, Complete: true, Subtrees: []string{"/a"}, Entries: []*wire.SettingsEntry{entry}},
		{FromOffset: 5, ToOffset: 9, Entries: []*wire.SettingsEntry{gone}},
		{FromOffset: 5, ToOffset: 4, Entries: []*wire.SettingsEntry{entry, gone}},
		{FromOffset: 1 << 62, ToOffset: -1 << 62},
	} {
		data, err := proto.Marshal(update)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		update := &wire.SettingsUpdate{}
		if proto.Unmarshal(data, update) != nil {
			return
		}
		r := NewReceiver("t1", "t1-1")
		assert.NilError(t, r.apply(&wire.SettingsUpdate{
			FromOffset: settings.NoOffset, ToOffset: 5, Complete: true,
			Entries: []*wire.SettingsEntry{{Path: "/a", Version: 5, Value: []byte("1")}},
		}))
		err := r.apply(update)
		assert.Assert(t, r.Snapshot().Offset() >= 5)
		if err != nil {
			assert.Equal(t, r.Snapshot().Offset(), int64(5))
		}
		for _, entry := range r.Snapshot().List("/") {
			assert.Assert(t, entry.Version <= r.Snapshot().Offset())
			assert.Assert(t, settings.ValidPath(entry.Path))
		}
	})
}
