package fleetsync

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/platform"
)

func inEra(era, next int64, records ...platform.Record) platform.Batch {
	return platform.Batch{Era: era, Next: next, Records: records}
}

func settingsRecord(version int) platform.Record {
	return platform.Record{Key: platform.KeySettings, Value: fmt.Appendf(nil, `{"version":%d}`, version)}
}

// A gateway that was past the end of the restored store never applied a record again.
func TestRecordsOfANewEraAreReadFromTheStart(t *testing.T) {
	s := newTestState(&clock{start})
	s.ReplaceSettings(inEra(1, 9, settingsRecord(7)))
	assert.Assert(t, !s.AddSettings(inEra(2, 9, settingsRecord(8))), "records before offset 9 are not known in era 2")
	assert.Equal(t, s.settings.Version, int64(7))
	s.ReplaceSettings(inEra(2, 4, settingsRecord(8)))
	assert.Equal(t, s.settings.Version, int64(8))
	assert.Assert(t, s.AddSettings(inEra(1, 12, settingsRecord(9))))
	assert.Equal(t, s.settings.Version, int64(8), "a late answer of the earlier era is void")
}

// Peers were told the older settings of the store's copy although a newer version was in
// force.
func TestPeersAreToldTheSettingsInForceNotThoseOfTheCopy(t *testing.T) {
	c := &clock{start}
	s, other := newTestState(c), newTestState(c)
	s.ReplaceSettings(inEra(1, 9, settingsRecord(7)))
	s.ReplaceSettings(inEra(2, 4, settingsRecord(3)))
	other.Merge(s.Share(other.SettingsAt(), other.TargetsAt()))
	assert.Equal(t, other.settings.Version, int64(7))
}
