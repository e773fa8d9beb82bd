package orders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/schema"
)

const lifetime = 5 * time.Second

var (
	start  = time.Unix(1000, 0)
	first  = Order{Kind: LoadModel, Name: "m", Version: "1"}
	second = Order{Kind: LoadAdapter, Name: "fr"}
)

func TestNoOrderWhileAnEarlierOneMayArrive(t *testing.T) {
	s := NewSequencer(start, lifetime)
	wanted := []Order{first, second}
	_, ok := s.Next(start.Add(lifetime-1), wanted)
	assert.Assert(t, !ok, "right after the start")
	order, ok := s.Next(start.Add(lifetime), wanted)
	assert.Assert(t, ok)
	assert.Equal(t, order, first)
	s.MarkUnknown(start.Add(lifetime))
	_, ok = s.Next(start.Add(2*lifetime-1), wanted)
	assert.Assert(t, !ok, "after an order of unknown outcome")
	order, _ = s.Next(start.Add(2*lifetime), wanted)
	assert.Equal(t, order, first)
	s.MarkDone(first)
	order, _ = s.Next(start.Add(2*lifetime), wanted)
	assert.Equal(t, order, second)
}

func TestEngineThatChecksFencingNeedsNoWait(t *testing.T) {
	s := NewSequencer(start, lifetime)
	s.SetChecksFencing(true)
	_, ok := s.Next(start, []Order{first})
	assert.Assert(t, ok)
}

func TestNewIncarnationGetsAllOrdersAgain(t *testing.T) {
	s := NewSequencer(start.Add(-lifetime), lifetime)
	s.SetIncarnation("a")
	s.MarkDone(first)
	_, ok := s.Next(start, []Order{first})
	assert.Assert(t, !ok)
	s.SetIncarnation("b")
	_, ok = s.Next(start, []Order{first})
	assert.Assert(t, ok)
}

func TestWantedCoversTheModelsServed(t *testing.T) {
	settings := &catalog.Catalog{Models: map[catalog.TeamName]schema.Model{
		{Team: "t", Name: "m"}: {Versions: []string{"1"}, Adapters: []string{"fr"}},
		{Team: "u", Name: "m"}: {Versions: []string{"9"}},
	}}
	target := &catalog.Target{Target: schema.Target{Team: "t", Serves: []string{"m"}}}
	assert.DeepEqual(t, Wanted(settings, target), []Order{first, second})
}
