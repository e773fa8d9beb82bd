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

// Wanted returns the orders that the settings ask for at a target: first one for each
// version of the models that it serves, then one for each adapter of these models.
func Wanted(settings *catalog.Catalog, target *catalog.Target) []Order {
	var wanted []Order
	for _, name := range target.Serves {
		model := settings.Models[catalog.TeamName{Team: target.Team, Name: name}]
		for _, version := range model.Versions {
			wanted = append(wanted, Order{Kind: LoadModel, Name: name, Version: version})
		}
		for _, adapter := range model.Adapters {
			wanted = append(wanted, Order{Kind: LoadAdapter, Name: adapter})
		}
	}
	// By name LoadModel sorts after LoadAdapter, so descending order puts models first.
	sort.SliceStable(wanted, func(i, j int) bool { return wanted[i].Kind > wanted[j].Kind })
	return wanted
}

// Sequencer decides which order an agent sends to its engine next, one at a time.
type Sequencer struct {
	lifetime      time.Duration // longest time from sending an order to its arrival
	checksFencing bool
	notBefore     time.Time // until then an earlier order may still arrive
	incarnation   string    // of the engine
	done          map[Order]bool
}

// NewSequencer returns the sequencer of an agent that starts now. An order arrives
// within lifetime after it was sent, or never.
func NewSequencer(now time.Time, lifetime time.Duration) *Sequencer {
	return &Sequencer{lifetime: lifetime, notBefore: now.Add(lifetime), done: make(map[Order]bool)}
}

// SetChecksFencing sets whether the engine itself refuses old fencing tokens.
func (s *Sequencer) SetChecksFencing(checks bool) { s.checksFencing = checks }

// SetIncarnation sets the engine's incarnation. A new incarnation has loaded nothing,
// so it gets all orders again.
func (s *Sequencer) SetIncarnation(incarnation string) {
	if incarnation == s.incarnation {
		return
	}
	s.incarnation = incarnation
	clear(s.done)
}

// Next returns the order to send now, if there is one.
func (s *Sequencer) Next(now time.Time, wanted []Order) (Order, bool) {
	if !s.checksFencing && now.Before(s.notBefore) {
		return Order{}, false
	}
	for _, order := range wanted {
		if !s.done[order] {
			return order, true
		}
	}
	return Order{}, false
}

// MarkDone records that the engine has carried out an order.
func (s *Sequencer) MarkDone(order Order) { s.done[order] = true }

// MarkUnknown records that the outcome of an order is unknown: it may still arrive.
func (s *Sequencer) MarkUnknown(now time.Time) { s.notBefore = now.Add(s.lifetime) }
