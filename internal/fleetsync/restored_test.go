package fleetsync

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/platform"
)

func inEra(era, next int64, records ...platform.Record) platform.Batch {
	return platform.Batch{Era: era, Next: next, Records: records}
}

func settingsRecord(version int) platform.Record {
	return platform.Record{Key: platform.KeySettings, Value: fmt.Appendf(nil, `{"version":%d}`, version)}
}

func targetIn(state, id string, heartbeat int) platform.Record {
	value := fmt.Sprintf(`{"service":"app","address":"10.0.0.1:80","zone":"d1","slots":6,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":5}`, state, heartbeat)
	return platform.Record{Key: id, Value: []byte(value)}
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

// A live target that the store's copy lacks was dropped until it had written again.
func TestTargetThatTheCopyLacksStaysUsableUntilItCanHaveWrittenAgain(t *testing.T) {
	c := &clock{start}
	s := newTestState(c)
	s.ReplaceTargets(inEra(1, 9, targetIn("ready", "a", 8), targetIn("ready", "b", 1)))
	s.ReplaceTargets(inEra(2, 4, targetIn("ready", "a", 3)))
	assert.Equal(t, usable(s), 2)
	c.now = start.Add(3 * time.Second)
	s.AddTargets(inEra(2, 4))
	assert.Equal(t, usable(s), 1)
}
