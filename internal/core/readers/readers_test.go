package readers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func gateway(name string, settingsAge, targetsAge time.Duration) Gateway {
	return Gateway{Name: name, SettingsAsOf: now.Add(-settingsAge), TargetsAsOf: now.Add(-targetsAge)}
}

func TestFirstGatewayByNameReads(t *testing.T) {
	_, found := Choose("a", 0, []Gateway{gateway("b", 0, 0), gateway("c", 0, 0)}, now)
	assert.Assert(t, !found)
	for _, self := range []string{"b", "c", "d"} {
		reader, found := Choose(self, 0, []Gateway{gateway("c", 0, 0), gateway("a", time.Second, 0)}, now)
		assert.Assert(t, found)
		assert.Equal(t, reader.Name, "a")
	}
}

func TestGatewayWithOldReadsIsNotChosen(t *testing.T) {
	const old = MaxReadAge + time.Millisecond
	others := []Gateway{gateway("a", old, 0), gateway("b", 0, old)}
	_, found := Choose("c", 0, others, now)
	assert.Assert(t, !found)
	reader, found := Choose("d", 0, append(others, gateway("c", 0, 0)), now)
	assert.Assert(t, found)
	assert.Equal(t, reader.Name, "c")
}

// At least one gateway reads the store, whichever gateways have recent reads.
func TestAtLeastOneGatewayReads(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for fresh := range 1 << len(names) {
		readers := 0
		for _, self := range names {
			var others []Gateway
			for i, name := range names {
				if name != self && fresh&(1<<i) != 0 {
					others = append(others, gateway(name, 0, 0))
				}
			}
			if _, found := Choose(self, 0, others, now); !found {
				readers++
			}
		}
		assert.Assert(t, readers > 0, "nobody reads; gateways with recent reads: %b", fresh)
	}
}

// A gateway that had not yet read the store's newest era was followed with old settings.
func TestGatewayThatReadAnEarlierEraIsNotFollowed(t *testing.T) {
	first, second := gateway("a", 0, 0), gateway("b", 0, 0)
	first.Era, second.Era = 1, 2
	reader, found := Choose("c", 2, []Gateway{first, second}, now)
	assert.Assert(t, found)
	assert.Equal(t, reader.Name, "b")
	_, found = Choose("c", 3, []Gateway{first, second}, now)
	assert.Assert(t, !found)
}
