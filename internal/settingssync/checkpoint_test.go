package settingssync

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/settings"
)

func TestWhenACheckpointIsNeeded(t *testing.T) {
	const interval = time.Hour
	now := time.Unix(1_000_000, 0)
	fresh := &settings.CheckpointClose{Base: 100, Chunks: 2, First: 7, UnixMS: now.UnixMilli()}
	old := &settings.CheckpointClose{Base: 100, Chunks: 2, First: 7, UnixMS: now.Add(-interval).UnixMilli()}
	for name, tc := range map[string]struct {
		view   checkpointView
		offset int64
		want   need
	}{
		"log not read":              {checkpointView{}, 10, notNeeded},
		"no records":                {checkpointView{since: now}, settings.NoOffset, notNeeded},
		"all records there":         {checkpointView{since: now}, 10, notNeeded},
		"many records":              {checkpointView{since: now}, checkpointRecords, due},
		"long without one":          {checkpointView{since: now.Add(-interval)}, 10, due},
		"records gone":              {checkpointView{since: now, oldest: 1}, 10, urgent},
		"fresh one":                 {checkpointView{since: now, last: fresh}, 110, notNeeded},
		"old one":                   {checkpointView{since: now, last: old}, 110, due},
		"many records behind it":    {checkpointView{since: now, last: fresh}, 100 + checkpointRecords, due},
		"newer half":                {checkpointView{since: now, last: fresh, oldest: 50}, 110, notNeeded},
		"older half":                {checkpointView{since: now, last: fresh, oldest: 95}, 110, urgent},
		"following records gone":    {checkpointView{since: now, last: fresh, oldest: 102}, 110, urgent},
		"chunks there":              {checkpointView{since: now, last: fresh, chunks: 7}, 110, notNeeded},
		"chunks gone":               {checkpointView{since: now, last: fresh, chunks: 8}, 110, urgent},
		"quiet log after a restart": {checkpointView{since: now, last: fresh, oldest: 100}, 101, notNeeded},
	} {
		assert.Equal(t, tc.view.needed(tc.offset, now, interval), tc.want, name)
	}
}
