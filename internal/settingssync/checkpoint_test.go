package settingssync

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/settings"
)

func TestCheckpointUrgency(t *testing.T) {
	const interval = time.Hour
	now := time.Unix(1_000_000, 0)
	fresh := &settings.CheckpointClose{Base: 100, Chunks: 2, First: 7, UnixMS: now.UnixMilli()}
	old := &settings.CheckpointClose{Base: 100, Chunks: 2, First: 7, UnixMS: now.Add(-interval).UnixMilli()}
	for name, tc := range map[string]struct {
		view   checkpointView
		offset int64
		want   urgency
	}{
		"log not read":                     {checkpointView{}, 10, notNeeded},
		"no records":                       {checkpointView{firstRead: now}, settings.NoOffset, notNeeded},
		"no records expired":               {checkpointView{firstRead: now}, 10, notNeeded},
		"many records":                     {checkpointView{firstRead: now}, checkpointAfterRecords, due},
		"no checkpoint for a long time":    {checkpointView{firstRead: now.Add(-interval)}, 10, due},
		"records expired, no checkpoint":   {checkpointView{firstRead: now, oldest: 1}, 10, urgent},
		"recent checkpoint":                {checkpointView{firstRead: now, last: fresh}, 110, notNeeded},
		"old checkpoint":                   {checkpointView{firstRead: now, last: old}, 110, due},
		"many records after checkpoint":    {checkpointView{firstRead: now, last: fresh}, 100 + checkpointAfterRecords, due},
		"base in newer half of records":    {checkpointView{firstRead: now, last: fresh, oldest: 50}, 110, notNeeded},
		"base in older half of records":    {checkpointView{firstRead: now, last: fresh, oldest: 95}, 110, urgent},
		"records after checkpoint expired": {checkpointView{firstRead: now, last: fresh, oldest: 102}, 110, urgent},
		"all chunks kept":                  {checkpointView{firstRead: now, last: fresh, oldestChunk: 7}, 110, notNeeded},
		"chunks expired":                   {checkpointView{firstRead: now, last: fresh, oldestChunk: 8}, 110, urgent},
		"quiet log after a restart":        {checkpointView{firstRead: now, last: fresh, oldest: 100}, 101, notNeeded},
	} {
		assert.Equal(t, tc.view.urgencyAt(tc.offset, now, interval), tc.want, name)
	}
}
