package strike

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestVerdictDependsOnStrikes(t *testing.T) {
	table := NewTable("a")
	assert.Equal(t, table.VerdictFor("f", start), Allowed)
	table.Strike("f", TargetDied, start)
	assert.Equal(t, table.VerdictFor("f", start), Suspect)
	table.Strike("f", TargetDied, start)
	assert.Equal(t, table.VerdictFor("f", start), Refused)
	assert.Equal(t, table.VerdictFor("other", start), Allowed)
}

func TestOneLostConnectionDoesNotMakeRequestSuspect(t *testing.T) {
	table := NewTable("a")
	table.Strike("f", ConnectionLost, start)
	assert.Equal(t, table.VerdictFor("f", start), Allowed)
	table.Strike("f", ConnectionLost, start)
	assert.Equal(t, table.VerdictFor("f", start), Suspect)
}

func TestStrikesOfAllNodesAddUp(t *testing.T) {
	a, b := NewTable("a"), NewTable("b")
	a.Strike("f", TargetDied, start)
	b.Strike("f", TargetDied, start)
	for range 3 {
		a.Merge(b.Counts(start), start)
		b.Merge(a.Counts(start), start)
	}
	assert.Equal(t, a.VerdictFor("f", start), Refused)
	assert.Equal(t, b.VerdictFor("f", start), Refused)
}

func TestClearedRequestIsAllowedOnAllNodes(t *testing.T) {
	a, b := NewTable("a"), NewTable("b")
	a.Strike("f", TargetDied, start)
	b.Merge(a.Counts(start), start)
	b.ClearStrikes("f", start)
	a.Merge(b.Counts(start), start)
	assert.Equal(t, a.VerdictFor("f", start), Allowed)
	a.Strike("f", TargetDied, start)
	assert.Equal(t, a.VerdictFor("f", start), Suspect)
}

func TestStrikesExpire(t *testing.T) {
	table := NewTable("a")
	table.Strike("f", 2*TargetDied, start)
	later := start.Add(Lifetime + time.Second)
	assert.Equal(t, table.VerdictFor("f", later), Allowed)
	assert.Equal(t, len(table.Counts(later)), 0)
}

// Nodes that send each other all their counts, but not at the same moments.
func TestExchangedStrikesExpire(t *testing.T) {
	a, b := NewTable("a"), NewTable("b")
	a.Strike("f", 2*TargetDied, start)
	const round = Lifetime / 20
	now := start
	for ; now.Sub(start) < 3*Lifetime; now = now.Add(round) {
		b.Merge(a.Counts(now), now.Add(round/2))
		a.Merge(b.Counts(now.Add(round/2)), now.Add(round))
	}
	assert.Equal(t, a.VerdictFor("f", now), Allowed)
	assert.Equal(t, b.VerdictFor("f", now), Allowed)
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable("a")
	for i := range 5 * shards * maxRecordsPerShard / 4 {
		table.Strike(fmt.Sprint(i), TargetDied, start.Add(time.Duration(i)))
	}
	assert.Assert(t, len(table.Counts(start)) <= shards*maxRecordsPerShard)
}

// TestMergeOrderDoesNotMatter checks that nodes that have exchanged their
// counts in any order reach the same verdict.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable("a"), NewTable("b"), NewTable("c")}
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 11)).Draw(t, "steps") {
			table, other := tables[step%3], tables[(step+1)%3]
			switch step / 3 {
			case 0, 1:
				table.Strike("f", 1+step/3, start)
			case 2:
				table.Merge(other.Counts(start), start)
			case 3:
				table.ClearStrikes("f", start)
			}
		}
		for range 2 {
			for i, table := range tables {
				table.Merge(tables[(i+1)%3].Counts(start), start)
				table.Merge(tables[(i+2)%3].Counts(start), start)
			}
		}
		for _, table := range tables[1:] {
			if table.VerdictFor("f", start) != tables[0].VerdictFor("f", start) {
				t.Fatal("verdicts differ")
			}
		}
	})
}

// A request that is answered over and over does not keep its record alive.
func TestClearedStrikesExpire(t *testing.T) {
	table := NewTable("a")
	table.Strike("f", ConnectionLost, start)
	for now := start; now.Sub(start) < 2*Lifetime; now = now.Add(Lifetime / 4) {
		table.ClearStrikes("f", now)
	}
	assert.Equal(t, len(table.Counts(start.Add(2*Lifetime))), 0)
}

func TestRefusedRequestIsTriedOnceInAnInterval(t *testing.T) {
	table, now := NewTable("a"), time.Unix(1000, 0)
	table.Strike("f", refusedStrikes, now)
	allowed, wait := table.Try("f", now.Add(TrialInterval/2))
	assert.Assert(t, !allowed)
	assert.Equal(t, wait, TrialInterval/2)
	later := now.Add(TrialInterval)
	allowed, _ = table.Try("f", later)
	assert.Assert(t, allowed)
	allowed, _ = table.Try("f", later)
	assert.Assert(t, !allowed, "a trial is under way")
	table.ClearStrikes("f", later)
	assert.Equal(t, table.VerdictFor("f", later), Allowed)
}
