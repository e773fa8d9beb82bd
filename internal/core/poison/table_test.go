package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func always(int64) bool { return true }
func never(int64) bool  { return false }

func lost(parts ...string) []Loss { return []Loss{{Parts: parts}} }

// suspected returns a table in which the parts are suspect, and a time from which trials
// of all of them together may be sent.
func suspected(parts ...string) (*Table, time.Time) {
	table := NewTable()
	table.RecordCrash(lost(parts...), 1, start)
	table.RecordCrash(lost(parts...), 2, start.Add(occasionSpacing))
	return table, start.Add(occasionSpacing + sharedTrialSpacing)
}

func verdict(table *Table, part string, now time.Time) Verdict {
	return table.Admit([]string{part}, never, now).Verdict
}

func TestOneCrashDoesNotMakeAPartSuspect(t *testing.T) {
	table := NewTable()
	for target := range uint64(5) { // at the same time: one cause
		table.RecordCrash(lost("a", "b"), target, start.Add(time.Duration(target)*time.Millisecond))
	}
	assert.Equal(t, verdict(table, "a", start), Allowed)
	assert.Equal(t, verdict(table, "b", start), Allowed)
}

func TestPartIsSuspectAfterCrashesAtTwoTimesAndRefusedAfterTwoTrials(t *testing.T) {
	table, now := suspected("a")
	assert.Equal(t, verdict(table, "a", now), Suspect)
	for target := range uint64(refusedTrials) {
		decision := table.Admit([]string{"a"}, always, now)
		assert.Assert(t, decision.Trial)
		table.RecordCrash([]Loss{{Parts: []string{"a"}, Blamed: decision.Blamed}}, 10+target, now)
		table.EndTrial([]string{"a"})
		now = now.Add(trialSpacing)
	}
	decision := table.Admit([]string{"a"}, always, now)
	assert.Equal(t, decision.Verdict, Refused)
	assert.Assert(t, !decision.MaySend())
	assert.Assert(t, decision.RetryAfter > Lifetime-2*trialSpacing && decision.RetryAfter <= Lifetime)
	assert.Equal(t, verdict(table, "a", now.Add(Lifetime)), Allowed)
}

// A request that is repeated at once crashes several targets within a second.
func TestRequestIsSuspectAfterThreeCrashesAtAnyTime(t *testing.T) {
	table := NewTable()
	request := RequestPart("f")
	for target := range uint64(suspectRequestCrashes) {
		assert.Equal(t, verdict(table, request, start), Allowed)
		table.RecordCrash(lost("first", request), target, start.Add(time.Duration(target)))
	}
	assert.Equal(t, verdict(table, request, start), Suspect)
	assert.Equal(t, verdict(table, "first", start), Allowed)
}

func TestAnsweredPartIsNoLongerSuspect(t *testing.T) {
	table, now := suspected("a", "b")
	changes := table.RecordAnswered([]string{"a"}, now)
	assert.DeepEqual(t, changes, []Change{{"a", Suspect, Allowed}})
	assert.Equal(t, verdict(table, "a", now), Allowed)
	assert.Equal(t, verdict(table, "b", now), Suspect)
}

func TestSuspectPartIsTriedByOneRequestAtATime(t *testing.T) {
	table, now := suspected("a")
	assert.Assert(t, !table.Admit([]string{"a"}, never, now).MaySend())
	assert.Assert(t, table.Admit([]string{"a"}, always, now).Trial)
	now = now.Add(trialSpacing)
	assert.Assert(t, !table.Admit([]string{"a"}, always, now).MaySend(), "a trial runs")
	table.EndTrial([]string{"a"})
	assert.Assert(t, table.Admit([]string{"a"}, always, now).Trial)
}

// The first part of a route's prompts is under every crash that another part causes.
func TestPartThatIsAlsoSeenAloneIsNotBlamedForTheCrashOfATrialOfBoth(t *testing.T) {
	table, now := suspected("first", "bad")
	assert.Assert(t, !table.Admit([]string{"first"}, never, now).MaySend())
	decision := table.Admit([]string{"first", "bad"}, always, now)
	assert.Assert(t, decision.Trial)
	assert.DeepEqual(t, decision.Blamed, []string{"bad"})
}

func TestPartsThatAlwaysComeTogetherAreBlamedTogether(t *testing.T) {
	table, now := suspected("bad", "worse")
	assert.DeepEqual(t, table.Admit([]string{"bad", "worse"}, always, now).Blamed, []string{"bad", "worse"})
}

// A gateway that was cut off reports a crash after which others have answered the part.
func TestLateReportOfACrashIsClearedByAnAnswerSince(t *testing.T) {
	table, other := NewTable(), NewTable()
	other.RecordCrash([]Loss{{Parts: []string{"a"}, Blamed: []string{"a"}}}, 1, start)
	table.RecordAnswered([]string{"a"}, start.Add(time.Second))
	now := start.Add(2 * time.Second)
	table.Merge(other.Observed(start), now)
	other.Merge(table.Observed(now), now)
	assert.Assert(t, other.Observed(start)[0].Crashes[0].Cleared)
}

// A gateway that starts reads from the store that the part is refused.
func TestGatewayThatMissedAnAnswerIsToldOfIt(t *testing.T) {
	table, other := NewTable(), NewTable()
	table.RecordCrash([]Loss{{Parts: []string{"a"}, Blamed: []string{"a"}}}, 1, start)
	other.Merge(table.Observed(start), start)
	table.RecordAnswered([]string{"a"}, start)
	now := start.Add(Lifetime / 2)
	assert.Equal(t, len(table.Observed(now)), 0)
	table.Merge(other.evidence(func(*record) bool { return true }), now)
	other.Merge(table.Observed(now), now)
	assert.Assert(t, other.evidence(func(*record) bool { return true })[0].Crashes[0].Cleared)
}

func TestEvidenceIsNotKeptAliveByExchange(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.RecordCrash(lost("p"), 1, start)
	a.RecordCrash(lost("p"), 2, start.Add(occasionSpacing))
	now := start.Add(occasionSpacing)
	for ; now.Sub(start) < 2*Lifetime; now = now.Add(Lifetime / 4) {
		b.Merge(a.NotAllowed(now), now)
		a.Merge(b.NotAllowed(now), now)
	}
	assert.Equal(t, verdict(a, "p", now), Allowed)
	assert.Equal(t, len(b.NotAllowed(now)), 0)
}

func TestExpiredCrashesDoNotCountWithANewOne(t *testing.T) {
	table, _ := suspected("a")
	later := start.Add(2 * Lifetime)
	table.RecordCrash(lost("a"), 3, later)
	assert.Equal(t, verdict(table, "a", later), Allowed)
}

func TestEachGatewaySendsTrialsInSomeTurn(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	turns := make(map[string]int)
	for turn := range int64(100) {
		for i, name := range names {
			others := append(append([]string(nil), names[:i]...), names[i+1:]...)
			if Tries(turn, name, others) {
				turns[name]++
			}
		}
	}
	total := 0
	for _, name := range names {
		assert.Assert(t, turns[name] > 0, "%s sends no trials", name)
		total += turns[name]
	}
	assert.Equal(t, total, 100)
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 2 * maxParts {
		table.RecordCrash(lost(fmt.Sprint(i)), uint64(i), start.Add(time.Duration(i)))
		table.RecordAnswered([]string{fmt.Sprint(i)}, start)
	}
	assert.Assert(t, len(table.Observed(time.Time{})) <= maxParts)
	assert.Assert(t, len(table.answers.recent)+len(table.answers.old) <= 2*maxAnswered)
}

func TestLossesTellCrashesFromLostAnswers(t *testing.T) {
	losses := NewLosses()
	loss := Loss{Parts: []string{"a"}}
	assert.Assert(t, !losses.Add(1, loss, start))
	losses.Alive(1, start.Add(1))
	assert.Equal(t, len(losses.Crashed(1, start.Add(2))), 0)
	assert.Assert(t, losses.Add(1, loss, start.Add(3)), "the target is known to have crashed")
	assert.Assert(t, !losses.Add(2, loss, start))
	assert.DeepEqual(t, losses.Crashed(2, start.Add(lossLifetime)), []Loss{loss})
	assert.Assert(t, !losses.Add(3, loss, start))
	assert.Equal(t, len(losses.Crashed(3, start.Add(lossLifetime+1))), 0)
}

// TestMergeOrderDoesNotMatter checks that gateways that have exchanged their evidence in
// any order reach the same verdict.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		now := start
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 11)).Draw(t, "steps") {
			table, other := tables[step%3], tables[(step+1)%3]
			now = now.Add(occasionSpacing / 2)
			target := uint64(rapid.IntRange(1, 5).Draw(t, "target"))
			switch step / 3 {
			case 0:
				table.RecordCrash(lost("p"), target, now)
			case 1:
				table.RecordCrash([]Loss{{Parts: []string{"p"}, Blamed: []string{"p"}}}, target, now)
			case 2:
				table.Merge(other.Observed(start), now)
			case 3:
				table.RecordAnswered([]string{"p"}, now)
			}
		}
		for range 2 {
			for i, table := range tables {
				for _, from := range []int{1, 2} {
					table.Merge(tables[(i+from)%3].evidence(func(*record) bool { return true }), now)
				}
			}
		}
		for _, table := range tables[1:] {
			if verdict(table, "p", now) != verdict(tables[0], "p", now) {
				t.Fatal("verdicts differ")
			}
		}
	})
}
