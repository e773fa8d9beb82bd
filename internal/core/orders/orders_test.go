package orders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/schema"
)

const life = 5 * time.Second

var (
	start  = time.Unix(1000, 0)
	first  = Order{Kind: LoadModel, Name: "m", Version: "1"}
	second = Order{Kind: LoadAdapter, Name: "fr"}
)

func TestNoOrderWhileAnEarlierOneCanArrive(t *testing.T) {
	s := NewSequencer(start, life)
	wanted := []Order{first, second}
	_, ok := s.Next(start.Add(life-1), wanted)
	assert.Assert(t, !ok, "right after the start")
	order, ok := s.Next(start.Add(life), wanted)
	assert.Assert(t, ok)
	assert.Equal(t, order, first)
	s.MarkUnknown(start.Add(life))
	_, ok = s.Next(start.Add(2*life-1), wanted)
	assert.Assert(t, !ok, "after an order of unknown fate")
	order, _ = s.Next(start.Add(2*life), wanted)
	assert.Equal(t, order, first)
	s.MarkDone(first)
	order, _ = s.Next(start.Add(2*life), wanted)
	assert.Equal(t, order, second)
}

func TestEngineThatChecksFencingNeedsNoWait(t *testing.T) {
	s := NewSequencer(start, life)
	s.SetChecksFencing(true)
	_, ok := s.Next(start, []Order{first})
	assert.Assert(t, ok)
}

func TestNewIncarnationIsOrderedAgain(t *testing.T) {
	s := NewSequencer(start.Add(-life), life)
	s.SetIncarnation("a")
	s.MarkDone(first)
	_, ok := s.Next(start, []Order{first})
	assert.Assert(t, !ok)
	s.SetIncarnation("b")
	_, ok = s.Next(start, []Order{first})
	assert.Assert(t, ok)
}

func TestWantedFollowsTheModelsServed(t *testing.T) {
	view := &catalog.Catalog{Models: map[catalog.TeamName]schema.Model{
		{Team: "t", Name: "m"}: {Versions: []string{"1"}, Adapters: []string{"fr"}},
		{Team: "u", Name: "m"}: {Versions: []string{"9"}},
	}}
	target := &catalog.Target{Target: schema.Target{Team: "t", Serves: []string{"m"}}}
	assert.DeepEqual(t, Wanted(view, target), []Order{first, second})
}
