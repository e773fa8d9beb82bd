package orders

import (
	"sort"
	"time"

	"quetzalbend/internal/core/catalog"
)

// Kind is a kind of order.
type Kind string

// Kinds of order.
const (
	LoadModel   Kind = "load_model"
	LoadAdapter Kind = "load_adapter"
)

// Order asks an engine to load something.
type Order struct {
	Kind    Kind
	Name    string
	Version string
}

// Wanted returns the orders that settings ask of a target, in a fixed order:
// the versions and adapters of the models that it serves.
func Wanted(view *catalog.Catalog, target *catalog.Target) []Order {
	var wanted []Order
	for _, name := range target.Serves {
		model := view.Models[catalog.TeamName{Team: target.Team, Name: name}]
		for _, version := range model.Versions {
			wanted = append(wanted, Order{Kind: LoadModel, Name: name, Version: version})
		}
		for _, adapter := range model.Adapters {
			wanted = append(wanted, Order{Kind: LoadAdapter, Name: adapter})
		}
	}
	sort.SliceStable(wanted, func(i, j int) bool { return wanted[i].Kind > wanted[j].Kind })
	return wanted
}

// Sequencer gives the orders of one agent to its engine one after the other.
type Sequencer struct {
	life          time.Duration
	checksFencing bool
	notBefore     time.Time
	incarnation   string // of the engine
	given         map[Order]bool
}

// NewSequencer returns the sequencer of an agent that starts now. An order
// sent earlier arrives within life or never.
func NewSequencer(now time.Time, life time.Duration) *Sequencer {
	return &Sequencer{life: life, notBefore: now.Add(life), given: make(map[Order]bool)}
}

// SetChecksFencing says whether the engine refuses old fencing numbers itself.
func (s *Sequencer) SetChecksFencing(checks bool) { s.checksFencing = checks }

// SetIncarnation names the engine's incarnation. A new one has loaded nothing.
func (s *Sequencer) SetIncarnation(incarnation string) {
	if incarnation == s.incarnation {
		return
	}
	s.incarnation = incarnation
	clear(s.given)
}

// Next returns the order to give now, if there is one.
func (s *Sequencer) Next(now time.Time, wanted []Order) (Order, bool) {
	if !s.checksFencing && now.Before(s.notBefore) {
		return Order{}, false
	}
	for _, order := range wanted {
		if !s.given[order] {
			return order, true
		}
	}
	return Order{}, false
}

// MarkDone notes that the engine has carried out an order.
func (s *Sequencer) MarkDone(order Order) { s.given[order] = true }

// MarkUnknown notes that the fate of an order is unknown: it may still arrive.
func (s *Sequencer) MarkUnknown(now time.Time) { s.notBefore = now.Add(s.life) }
