package registry

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/fleet"
)

var start = time.Unix(1000, 0)

func target(id string) fleet.Target {
	return fleet.Target{ID: id, Service: "app", Address: "10.0.0.1:80", Domain: "d1"}
}

func usable(table *Table) int { return len(table.Usable(nil)["app"]) }

func TestRemovedTargetIsUnusableAtOnce(t *testing.T) {
	table := NewTable(Timing{})
	table.ReadSucceeded(start)
	table.Put(target("a"), start)
	table.Remove("a", start)
	assert.Equal(t, usable(table), 0)
}

// Live targets whose records expired in an outage of the store have written them
// again within two seconds of its end.
func TestTargetMissingAfterAnOutageStaysForTheGracePeriod(t *testing.T) {
	table := NewTable(Timing{})
	table.ReadSucceeded(start)
	table.Put(target("alive"), start)
	table.Put(target("gone"), start)
	table.ReadFailed()
	back := start.Add(5 * time.Second)
	table.ReadSucceeded(back)
	table.Remove("alive", back)
	table.Remove("gone", back)
	assert.Equal(t, usable(table), 2)
	table.Put(target("alive"), back.Add(time.Second))
	table.ReadSucceeded(back.Add(GracePeriod))
	assert.Equal(t, usable(table), 1)
}

func TestMissingDrainingTargetIsRemoved(t *testing.T) {
	table := NewTable(Timing{})
	leaving := target("a")
	leaving.Draining = true
	table.ReadFailed()
	table.Put(leaving, start)
	table.ReadSucceeded(start)
	assert.Equal(t, usable(table), 0)
	table.Remove("a", start)
	assert.Equal(t, len(table.All()), 0)
}

// The grace period follows an outage of the store that only another gateway has seen.
func TestMissingTargetStaysInAnotherGatewaysGracePeriod(t *testing.T) {
	table := NewTable(Timing{})
	table.ReadSucceeded(start)
	table.Put(target("a"), start)
	back := start.Add(5 * time.Second) // of which this gateway has read nothing
	table.ExtendGrace(back.Add(time.Second), back)
	table.Remove("a", back)
	assert.Equal(t, usable(table), 1)
	assert.Equal(t, table.GraceRemaining(back), time.Second)
	table.ReadSucceeded(back.Add(time.Second))
	assert.Equal(t, usable(table), 0)
}

func TestEvacuatedDomainHasNoUsableTargets(t *testing.T) {
	table := NewTable(Timing{})
	table.Put(target("a"), start)
	assert.Equal(t, len(table.Usable(map[string]bool{"d1": true})["app"]), 0)
	assert.Equal(t, len(table.All()), 1)
}

// A target that says in its answers that it leaves got requests until its record said so.
func TestTargetThatSaysItLeavesIsNotUsableWhateverItsRecordSays(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Timing{})
	leaving := target("a")
	leaving.Born = 5
	table.Put(leaving, now)
	assert.Equal(t, len(table.Usable(nil)["app"]), 1)
	assert.Assert(t, table.MarkLeaving("a", 5))
	assert.Assert(t, !table.MarkLeaving("a", 5))
	assert.Equal(t, len(table.Usable(nil)["app"]), 0)
	table.Put(leaving, now)
	table.Remove("a", now)
	table.Put(leaving, now)
	assert.Equal(t, len(table.Usable(nil)["app"]), 0)
	restarted := leaving
	restarted.Born = 6
	table.Put(restarted, now)
	assert.Equal(t, len(table.Usable(nil)["app"]), 1)
}

func TestLeavingTargetsAreForgottenWithTheirRecords(t *testing.T) {
	table := NewTable(Timing{})
	for i := range maxLeaving + 10 {
		table.MarkLeaving(strconv.Itoa(i), 1)
	}
	assert.Equal(t, len(table.leaving), 10)
}
