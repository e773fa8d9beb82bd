package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/registry"
)

const testHash = 7

func isUsable() bool { return true }

// checkAt plays the check that is due at a time.
func checkAt(t *testing.T, w *Watch, result CheckResult, now time.Time) (Finding, bool) {
	t.Helper()
	due := w.Due(now)
	assert.Equal(t, len(due), 1, "no check is due")
	return w.Checked(due[0], result, now, now.Add(checkTime))
}

const checkTime = 500 * time.Millisecond

// silentTarget returns a watch with one request at a target that has never answered and was
// found silent, and the time after that.
func silentTarget(t *testing.T) (*Watch, *Run, time.Time) {
	t.Helper()
	w := NewWatch(time.Second)
	run := w.Begin(registry.Usable{}, testHash, Loss{Parts: []string{"shared", RequestPart("r")}}, start)
	now := start.Add(2 * time.Second)
	found, ok := checkAt(t, w, Silent, now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, found.Losses, []Loss{{Parts: []string{RequestPart("r")}}})
	assert.Equal(t, found.At, start)
	return w, run, now.Add(checkTime + silentInterval)
}

// What counts against a request keeps its time when the target turns out to have ended.
func TestSilentTargetThatHasEndedWentDownWhenItFellSilent(t *testing.T) {
	w, _, now := silentTarget(t)
	found, ok := checkAt(t, w, Ended, now)
	assert.Assert(t, ok)
	assert.Equal(t, found.At, start)
	assert.Equal(t, len(found.Losses[0].Parts), 2)
}

func TestRequestThatEndsAtASilentTargetCounts(t *testing.T) {
	w, run, now := silentTarget(t)
	found, ok := run.End(Lost, isUsable, now)
	assert.Assert(t, ok)
	assert.Equal(t, found.At, start)
	_, again := run.End(Lost, isUsable, now)
	assert.Assert(t, !again)
	late := w.Begin(registry.Usable{}, testHash, Loss{Parts: []string{RequestPart("late")}}, now)
	_, ok = late.End(CutOff, isUsable, now)
	assert.Assert(t, !ok, "it was sent after the target had gone down")
}

func TestSilentTargetIsAliveOnceItHasAnsweredTwice(t *testing.T) {
	w, _, now := silentTarget(t)
	_, ok := checkAt(t, w, Alive, now)
	assert.Assert(t, !ok)
	found, ok := checkAt(t, w, Alive, now.Add(checkTime+silentInterval))
	assert.Assert(t, ok && found.Revived)
}

func TestCallersThatLeaveATargetWithSignsOfLifeCauseNoCheck(t *testing.T) {
	w := NewWatch(time.Second)
	leaving := w.Begin(registry.Usable{}, testHash, Loss{Parts: []string{RequestPart("r")}}, start)
	other := w.Begin(registry.Usable{}, testHash, Loss{}, start)
	now := start
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		other.Sign(now)
		if now.Sub(start) == time.Second {
			leaving.End(Lost, isUsable, now)
		}
		assert.Equal(t, len(w.Due(now)), 0)
	}
	_, ok := w.Ended(testHash, now)
	assert.Assert(t, ok, "the other request runs on")
}

func TestPlannedEndOfATargetIsNoCrash(t *testing.T) {
	w := NewWatch(time.Second)
	run := w.Begin(registry.Usable{}, testHash, Loss{Parts: []string{RequestPart("r")}}, start)
	run.End(CutOff, func() bool { return false }, start)
	_, ok := w.Ended(testHash, start)
	assert.Assert(t, !ok)
}

func TestConnectionsThatBreakAgainAndAgainAreSilence(t *testing.T) {
	w := NewWatch(time.Second)
	run := w.Begin(registry.Usable{}, testHash, Loss{Parts: []string{RequestPart("r")}}, start)
	run.End(CutOff, isUsable, start)
	now := start
	for range maxBroken - 1 {
		_, ok := checkAt(t, w, Broken, now)
		assert.Assert(t, !ok)
		now = now.Add(checkTime + brokenInterval)
	}
	_, ok := checkAt(t, w, Broken, now)
	assert.Assert(t, ok)
}

// Copies of a request that was answered before are lost together with a failure domain.
func TestRequestThatWasAnsweredIsSuspectOnlyAfterCrashesApart(t *testing.T) {
	table, request := NewTable(), RequestPart("hot")
	table.RecordAnswered([]string{request}, start)
	now := start.Add(time.Second)
	for target := range uint64(5) {
		table.RecordCrash(lost(request), target, now)
	}
	assert.Equal(t, verdict(table, request, now), Allowed)
	table.RecordCrash(lost(request), 6, now.Add(occasionSpacing))
	assert.Equal(t, verdict(table, request, now), Suspect)
}

// BenchmarkDue looks for checks among the targets that run requests of one gateway at the size
// planned for: 1,500 requests a second of 10 s at 420 gateways, each at a target of its own.
func BenchmarkDue(b *testing.B) {
	w := NewWatch(time.Second)
	const runs = 36
	for i := range uint64(runs) {
		w.Begin(registry.Usable{}, i, Loss{}, start).Sign(start)
	}
	b.ReportAllocs()
	for b.Loop() {
		w.Due(start.Add(time.Millisecond))
	}
}
