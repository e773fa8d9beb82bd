package fleetsync

import (
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/eventlog"
	"quetzalbend/platform"
)

var start = time.Unix(1000, 0)

// clock is a clock that a test sets.
type clock struct{ now time.Time }

func newTestState(c *clock) *State {
	s := NewState(eventlog.New(io.Discard), func() time.Time { return c.now }, registry.Timing{})
	s.ReplaceSettings(platform.Batch{Next: 1, Records: []platform.Record{
		{Key: platform.KeySettings, Value: []byte(`{"version":1}`)},
	}})
	return s
}

func target(id string, heartbeat int) platform.Record {
	value := fmt.Sprintf(`{"service":"app","address":"10.0.0.1:80","zone":"d1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":%d}`, heartbeat)
	return platform.Record{Key: id, Value: []byte(value)}
}

// at returns a place in the first era.
func at(next int64) platform.Position { return platform.Position{Next: next} }

func usable(s *State) int { return len(s.View().Targets["app"]) }

func TestReplaceTargetsRemovesMissingTargets(t *testing.T) {
	s := newTestState(&clock{start})
	s.ReplaceTargets(platform.Batch{Next: 5, Records: []platform.Record{target("a", 1), target("b", 1)}})
	assert.Equal(t, usable(s), 2)
	s.ReplaceTargets(platform.Batch{Next: 6, Records: []platform.Record{target("b", 2)}})
	assert.Equal(t, usable(s), 1)
	s.ReplaceTargets(platform.Batch{Next: 4, Records: []platform.Record{target("a", 1), target("b", 1)}})
	assert.Equal(t, usable(s), 1)
}

func TestPeerGetsOnlyChanges(t *testing.T) {
	s := newTestState(&clock{start})
	s.ReplaceTargets(platform.Batch{Next: 5, Records: []platform.Record{target("a", 1), target("b", 1), target("c", 1)}})
	s.AddTargets(platform.Batch{Next: 8, Records: []platform.Record{target("a", 2), target("b", 2)}})
	assert.Equal(t, s.ReadState().TargetsChanged, int64(5))
	assert.Equal(t, s.ReadState().TargetsNext, int64(8))
	s.AddTargets(platform.Batch{Next: 10, Records: []platform.Record{target("d", 1), {Key: "c"}}})

	shared := s.Share(at(1), at(8))
	assert.Assert(t, !shared.TargetsWhole)
	assert.Equal(t, len(shared.Targets), 1)
	assert.DeepEqual(t, shared.TargetsGone, []string{"c"})
	// Removals before the first read are not known, so the whole registry is shared.
	assert.Assert(t, s.Share(at(1), at(4)).TargetsWhole)
	assert.Equal(t, len(s.Share(at(1), at(4)).Targets), 3)
}

// A gateway that merges a peer's changes repeatedly knows the same targets as the peer,
// whatever the peer has read in between.
func TestMergedTargetsEqualThePeers(t *testing.T) {
	c := &clock{start}
	reader, other := newTestState(c), newTestState(c)
	next := int64(5)
	known := map[string]bool{}
	for step := range 400 {
		next += 2
		id := fmt.Sprint("i-", step*7%13)
		switch {
		case step%50 == 0:
			reader.ReplaceTargets(platform.Batch{Next: next, Records: []platform.Record{target("i-1", step), target("i-2", step)}})
			known = map[string]bool{"i-1": true, "i-2": true}
		case step%3 == 0:
			reader.AddTargets(platform.Batch{Next: next, Records: []platform.Record{{Key: id}}})
			delete(known, id)
		default:
			reader.AddTargets(platform.Batch{Next: next, Records: []platform.Record{target(id, step)}})
			known[id] = true
		}
		if step%5 == 0 {
			other.Merge(reader.Share(other.SettingsAt(), other.TargetsAt()))
			assert.Equal(t, usable(other), len(known), "step %d", step)
		}
	}
}

func TestManyRemovalsAreSharedAsTheWholeRegistry(t *testing.T) {
	s := newTestState(&clock{start})
	for i := range maxGone + 1 {
		id := fmt.Sprint("i-", i)
		s.AddTargets(platform.Batch{Next: int64(10 + i), Records: []platform.Record{target(id, 1), {Key: id}}})
	}
	assert.Assert(t, s.Share(at(1), at(20)).TargetsWhole)
}

func TestMergeKeepsTheAgeOfThePeersState(t *testing.T) {
	c := &clock{start}
	reader, other := newTestState(c), newTestState(c)
	reader.AddTargets(platform.Batch{Next: 5, Records: []platform.Record{target("a", 1)}})
	c.now = start.Add(2 * time.Second)
	other.Merge(reader.Share(at(1), at(0)))
	assert.Equal(t, other.ReadState().TargetsAgeMs, int64(2000))
	other.RecordReaderProgress(Reader{SettingsAsOf: c.now, TargetsAsOf: c.now.Add(-time.Second), TargetsAt: platform.Position{Next: 9}})
	assert.Equal(t, other.ReadState().TargetsAgeMs, int64(1000))
	assert.Equal(t, other.ReadState().SettingsAgeMs, int64(0))
	assert.Equal(t, other.TargetsAt().Next, int64(9))
}

// A target whose record expired in an outage of the store that only the peer has seen
// stays usable for the peer's grace period.
// A gateway that the store rejected looked up to date by what peers told it, so that
// another one stopped reading the store and used a draining target for 2 s.
func TestGatewayThatCannotReadTheStoreDoesNotOfferToReadForOthers(t *testing.T) {
	c := &clock{start}
	rejected, peer := newTestState(c), newTestState(c)
	rejected.AddTargets(platform.Batch{Next: 1})
	rejected.RecordTargetsReadFailure()
	peer.AddTargets(platform.Batch{Records: []platform.Record{target("a", 1)}, Next: 2})
	rejected.Merge(peer.Share(at(0), at(1)))
	assert.Equal(t, rejected.ReadState().TargetsNext, int64(2))
	assert.Equal(t, rejected.ReadState().TargetsAgeMs, int64(neverRead))
	assert.Equal(t, rejected.Share(at(0), at(0)).Read.TargetsAgeMs, int64(0), "peers must learn the true age of what is shared")
	rejected.AddTargets(platform.Batch{Next: 2})
	assert.Equal(t, rejected.ReadState().TargetsAgeMs, int64(0))

	rejected.RecordSettingsReadFailure()
	assert.Equal(t, rejected.ReadState().SettingsAgeMs, int64(neverRead))
	rejected.AddSettings(platform.Batch{Next: rejected.SettingsAt().Next})
	assert.Equal(t, rejected.ReadState().SettingsAgeMs, int64(0))
}

func TestExpiredTargetStaysUsableForThePeersGracePeriod(t *testing.T) {
	c := &clock{start}
	reader, other := newTestState(c), newTestState(c)
	reader.AddTargets(platform.Batch{Next: 5, Records: []platform.Record{target("a", 1)}})
	other.Merge(reader.Share(at(1), at(0)))
	reader.RecordTargetsReadFailure()
	c.now = start.Add(5 * time.Second) // a record expires after three heartbeat intervals
	reader.AddTargets(platform.Batch{Next: 7, Records: []platform.Record{{Key: "a"}}})
	other.Merge(reader.Share(at(1), other.TargetsAt()))
	assert.Equal(t, usable(other), 1)
	c.now = c.now.Add(3 * time.Second)
	other.RecordReaderProgress(Reader{SettingsAsOf: c.now, TargetsAsOf: c.now, TargetsAt: platform.Position{Next: 8}})
	assert.Equal(t, usable(other), 0)
}

// A gateway that was cut off from the store took what its peers had read of a removal for the
// end of an outage, and used the target for two seconds more.
func TestTargetThatWasTakenAwayIsDroppedByAGatewayThatPeersTell(t *testing.T) {
	c := &clock{start}
	inTouch, cutOff := newTestState(c), newTestState(c)
	inTouch.AddTargets(platform.Batch{Next: 5, Records: []platform.Record{target("a", 1), target("b", 1)}})
	cutOff.Merge(inTouch.Share(at(1), at(0)))
	cutOff.RecordTargetsReadFailure()
	c.now = start.Add(5 * time.Second)
	inTouch.AddTargets(platform.Batch{Next: 9, Records: []platform.Record{target("a", 2), target("b", 2), {Key: "a"}}})
	cutOff.Merge(inTouch.Share(at(1), cutOff.TargetsAt()))
	assert.Equal(t, usable(cutOff), 1)
}

// Targets that were cut off from the store together with a gateway are back when they can
// write again. Until then, its peers know only that their records have expired.
func TestTargetWhoseRecordExpiredInACutStaysUsableWhateverPeersTell(t *testing.T) {
	c := &clock{start}
	inTouch, cutOff := newTestState(c), newTestState(c)
	inTouch.AddTargets(platform.Batch{Next: 5, Records: []platform.Record{target("a", 1), target("b", 1)}})
	cutOff.Merge(inTouch.Share(at(1), at(0)))
	cutOff.RecordTargetsReadFailure()
	c.now = start.Add(5 * time.Second)
	inTouch.AddTargets(platform.Batch{Next: 9, Records: []platform.Record{target("b", 2), target("b", 3), target("b", 4), {Key: "a"}}})
	assert.Equal(t, usable(inTouch), 1)
	cutOff.Merge(inTouch.Share(at(1), cutOff.TargetsAt()))
	assert.Equal(t, usable(cutOff), 2)
	c.now = c.now.Add(registry.GracePeriod)
	cutOff.Expire()
	assert.Equal(t, usable(cutOff), 1)
}

// Where heartbeats leave no records in the log, a gateway that was cut off takes that for an
// outage of the store. One that has followed the registry all along knows better.
func TestGracePeriodOfAPeerIsNotTakenByAGatewayInTouch(t *testing.T) {
	c := &clock{start}
	cutOff, inTouch := newTestState(c), newTestState(c)
	cutOff.AddTargets(platform.Batch{Next: 5, Records: []platform.Record{target("a", 1), target("b", 1)}})
	inTouch.Merge(cutOff.Share(at(1), at(0)))
	cutOff.RecordTargetsReadFailure()
	c.now = start.Add(4 * time.Second)
	inTouch.RecordReaderProgress(Reader{SettingsAsOf: c.now, TargetsAsOf: c.now, TargetsAt: at(5)})
	c.now = start.Add(5 * time.Second)
	cutOff.AddTargets(platform.Batch{Next: 6, Records: []platform.Record{{Key: "a"}}})
	inTouch.Merge(cutOff.Share(at(1), inTouch.TargetsAt()))
	assert.Equal(t, usable(inTouch), 1)
}
