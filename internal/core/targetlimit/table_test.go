package targetlimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/share"
)

var start = time.Unix(1000, 0)

const id = 7

// alone returns a gateway without others.
func alone(self string) func() Gateways { return func() Gateways { return Gateways{Self: self} } }

// sendAll sends requests as long as the table allows and returns how many.
func sendAll(table *Table, now time.Time) int {
	sent := 0
	for table.Allow(id, alone("a"), now) && sent < 100 {
		table.RecordSent(id, now)
		sent++
	}
	return sent
}

func TestTargetWithoutALimitIsNotLimited(t *testing.T) {
	table := NewTable()
	assert.Assert(t, !table.Observe(id, 0, start))
	assert.Equal(t, sendAll(table, start), 100)
	assert.Assert(t, table.Empty())
}

func TestLimitHoldsUntilAnAnswerNamesNone(t *testing.T) {
	table := NewTable()
	assert.Assert(t, table.Observe(id, 2, start))
	assert.Equal(t, sendAll(table, start), 2)
	assert.Equal(t, sendAll(table, start.Add(time.Second)), 0)
	assert.Equal(t, sendAll(table, start.Add(shortWindow+1)), 2)
	assert.Assert(t, table.Observe(id, 0, start.Add(2*time.Second)))
	assert.Equal(t, sendAll(table, start.Add(2*time.Second)), 100)
}

func TestLimitOfASilentTargetIsForgotten(t *testing.T) {
	table := NewTable()
	table.Observe(id, 1, start)
	later := start.Add(limitLifetime + 1)
	assert.Equal(t, sendAll(table, later), 100)
	assert.Equal(t, len(table.Reports(later)), 0)
	assert.Assert(t, table.Empty())
}

func TestVeryLowLimitStillLetsOneRequestThrough(t *testing.T) {
	table := NewTable()
	table.Observe(id, 0.01, start)
	assert.Equal(t, sendAll(table, start), 1)
	assert.Equal(t, sendAll(table, start.Add(window/2)), 0)
}

func TestRequestsOfOthersCount(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Observe(id, 3, start)
	b.Merge("a", a.Reports(start), start)
	assert.Equal(t, sendAll(a, start), 3)
	b.Merge("a", a.Reports(start), start)
	assert.Assert(t, !b.Allow(id, alone("b"), start))
}

// An older answer that is reported late does not bring a limit back.
func TestNewestAnswerDecides(t *testing.T) {
	table := NewTable()
	table.Observe(id, 2, start)
	table.Observe(id, 0, start.Add(time.Second))
	table.Merge("b", []Report{{Target: id, Limit: 2, Age: time.Second}}, start.Add(1500*time.Millisecond))
	assert.Equal(t, sendAll(table, start.Add(2*time.Second)), 100)
	table.Merge("b", []Report{{Target: id, Limit: 1, Age: 0}}, start.Add(3*time.Second))
	assert.Equal(t, sendAll(table, start.Add(3*time.Second)), 1)
}

// The others learn that a gateway's requests no longer count, although it sends none.
func TestGatewayReportsUntilItsRequestsNoLongerCount(t *testing.T) {
	a, b := NewTable(), NewTable()
	b.Observe(id, 1, start)
	a.Merge("b", b.Reports(start), start)
	a.RecordSent(id, start)
	now := start
	for ; now.Sub(start) <= reportTime; now = now.Add(100 * time.Millisecond) {
		b.Merge("a", a.Reports(now), now)
	}
	assert.Equal(t, len(a.Reports(now)), 0)
	assert.Assert(t, b.Allow(id, alone("b"), now))
}

func TestOnlySomeOfManyGatewaysSend(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, string(rune('a'+i)))
	}
	count := 0
	for i, name := range names {
		others := append(append([]string(nil), names[:i]...), names[i+1:]...)
		if sends(id, 2, name, others) {
			count++
		}
	}
	assert.Equal(t, count, baseSenders+int(2*sendersPerRate))
}

// Gateways that hear nobody, each after a restart or behind a cut.
func TestGatewaysThatHearNoOtherStayWithinALimitTogether(t *testing.T) {
	for _, count := range []int{9, 37, 420} {
		for _, limit := range []float64{0.3, 1, 2, 10} {
			var names []string
			for i := range count {
				names = append(names, fmt.Sprint("g", i))
			}
			sent := 0
			for _, name := range names {
				table := NewTable()
				table.Observe(id, limit, start)
				known := Gateways{Self: name, Members: share.NewMembers(name, names)}
				gateways := func() Gateways { return known }
				for ms := 0; ms < 4000; ms += 5 {
					now := start.Add(time.Duration(ms) * time.Millisecond)
					if table.Allow(id, gateways, now) {
						table.RecordSent(id, now)
						sent++
					}
				}
			}
			allowed := 1.5*4*limit + 5 // the bound that the deployments set, in 4 s
			assert.Assert(t, float64(sent) <= allowed, "%d gateways: %d for %.1f", count, sent, allowed)
			assert.Assert(t, sent > 0)
		}
	}
}
