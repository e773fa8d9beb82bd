package mapchange

// How many passes ahead of the group a hold is placed: enough for all ranks to
// be armed before the pass would begin.
const (
	holdAhead       = 2
	holdAheadLosing = 6 // while orders are lost, and have to be given again
)

// Plan is what a leader wants of a group.
type Plan struct {
	// Want is the version of the map to bring into force, or 0 for none. It must
	// be higher than every version that the ranks have had.
	Want int64
	// Abandoned holds the versions that the leader has disarmed ranks of. One of
	// these orders may still be on its way, so the versions are not armed again.
	Abandoned map[int64]bool
	// OrdersLost says that orders have lately got no answer.
	OrdersLost bool
}

func (p Plan) holdAhead() int64 {
	if p.OrdersLost {
		return holdAheadLosing
	}
	return holdAhead
}

// Next returns the orders to give now. ranks must hold all ranks of the group,
// each as it was after the last order of this leader.
func Next(ranks []Rank, plan Plan) []Order {
	if !Complete(ranks) {
		return nil
	}
	if step := heldStep(ranks); step > 0 {
		return finish(ranks, step, plan)
	}
	if anyArmed(ranks) {
		return nil // released; the ranks switch when they reach the pass
	}
	if plan.Want == 0 {
		return nil
	}
	if orders, prepared := prepare(ranks, plan.Want); !prepared {
		return orders
	}
	return []Order{{Operation: Hold, Rank: 0, Step: newestStep(ranks) + plan.holdAhead()}}
}

// Changing reports whether a change is under way that must be ended first.
func Changing(ranks []Rank) bool { return heldStep(ranks) > 0 || anyArmed(ranks) }

// Stuck reports whether a pass is held and the ranks cannot all switch to one
// map at it. The leader must then want a map; the one in force costs no copies.
func Stuck(ranks []Rank, plan Plan) bool {
	step := heldStep(ranks)
	return step > 0 && armable(ranks, step, plan) == 0
}

// Complete reports whether ranks are all ranks of one open group, in order.
func Complete(ranks []Rank) bool {
	if len(ranks) == 0 || ranks[0].Size != len(ranks) {
		return false
	}
	for i := range ranks {
		r := &ranks[i]
		if !r.Open || r.Epoch != ranks[0].Epoch || r.Group != ranks[0].Group || r.Index != i {
			return false
		}
	}
	return true
}

func heldStep(ranks []Rank) int64 {
	for i := range ranks {
		if ranks[i].Held > 0 {
			return ranks[i].Held
		}
	}
	return 0
}

func anyArmed(ranks []Rank) bool {
	for i := range ranks {
		if ranks[i].Armed > 0 {
			return true
		}
	}
	return false
}

func newestStep(ranks []Rank) int64 {
	newest := int64(0)
	for i := range ranks {
		newest = max(newest, ranks[i].Step)
	}
	return newest
}

func prepare(ranks []Rank, want int64) (orders []Order, done bool) {
	done = true
	for i := range ranks {
		r := &ranks[i]
		if r.Prepared == want {
			continue
		}
		done = false
		if !r.Busy {
			orders = append(orders, Order{Operation: Prepare, Rank: i, Version: want})
		}
	}
	return orders, done
}

// finish ends a change whose pass is held. If every rank can still switch to
// one map at the pass, they do. Else no rank may keep what an earlier order, or
// one that is still on its way, could arm: all of them prepare the wanted map,
// and switch to that one.
//
// The holder comes before all others: once it has accepted an order of this
// leader, no earlier leader can release it while ranks are armed or disarmed.
// That order asks for the hold once more, which changes nothing, or takes back a
// release that no rank has acted on yet.
func finish(ranks []Rank, step int64, plan Plan) []Order {
	if holder := newHolder(ranks); holder >= 0 {
		return []Order{{Operation: Hold, Rank: holder, Step: ranks[holder].Held}}
	}
	switch armed := armedStep(ranks); {
	case armed > 0 && armed < step:
		return nil // an earlier change, released; the ranks switch before they reach the hold
	case armed > step && armable(ranks, armed, Plan{}) > 0:
		return release(ranks) // the hold came late, and guards nothing
	}
	version := armable(ranks, step, plan)
	if version == 0 {
		return replace(ranks, plan.Want)
	}
	if orders := arm(ranks, version, step); len(orders) > 0 {
		return orders
	}
	return release(ranks)
}

// armedStep returns the first pass that a rank is armed for, or 0.
func armedStep(ranks []Rank) int64 {
	first := int64(0)
	for i := range ranks {
		if r := &ranks[i]; r.Armed > 0 && (first == 0 || r.ArmedStep < first) {
			first = r.ArmedStep
		}
	}
	return first
}

// newHolder returns the rank that holds a pass and has not accepted an order of
// this leader, or -1.
func newHolder(ranks []Rank) int {
	for i := range ranks {
		if ranks[i].Held > 0 && !ranks[i].Touched {
			return i
		}
	}
	return -1
}

// armable returns the version that every rank is either armed with for the pass
// or has prepared and the leader has not given up, or 0 if there is none.
func armable(ranks []Rank, step int64, plan Plan) int64 {
	version := int64(0)
	for i := range ranks {
		r := &ranks[i]
		own := r.Prepared
		if r.Armed > 0 {
			if r.ArmedStep != step {
				return 0
			}
			own = r.Armed
		}
		if own == 0 || version != 0 && own != version {
			return 0
		}
		version = own
	}
	if plan.Abandoned[version] {
		return 0
	}
	return version
}

// arm returns the orders that are missing until every rank is armed and has
// accepted an order of this leader, after which no order of an earlier leader
// can change it.
func arm(ranks []Rank, version, step int64) []Order {
	var orders []Order
	for i := range ranks {
		if ranks[i].Armed != version || !ranks[i].Touched {
			orders = append(orders, Order{Operation: Arm, Rank: i, Version: version, Step: step})
		}
	}
	return orders
}

// replace returns the orders that make all ranks prepare the wanted map.
func replace(ranks []Rank, want int64) []Order {
	var orders []Order
	for i := range ranks {
		r := &ranks[i]
		switch {
		case want == 0:
			return nil
		case r.Armed > 0:
			orders = append(orders, Order{Operation: Disarm, Rank: i, Version: r.Armed})
		case r.Prepared != want && !r.Busy:
			orders = append(orders, Order{Operation: Prepare, Rank: i, Version: want})
		}
	}
	return orders
}

func release(ranks []Rank) []Order {
	var orders []Order
	for i := range ranks {
		if ranks[i].Held > 0 {
			orders = append(orders, Order{Operation: Release, Rank: i, Step: ranks[i].Held})
		}
	}
	return orders
}

// Apply notes in a rank's state what an order that it has accepted has changed,
// so that the next orders need not wait for another read.
func Apply(rank *Rank, order Order) {
	rank.Touched = true
	switch order.Operation {
	case Prepare:
		rank.Busy = true // until a read tells that the copy is complete
	case Arm:
		rank.Armed, rank.ArmedStep = order.Version, order.Step
	case Disarm:
		rank.Armed, rank.ArmedStep = 0, 0
	case Hold:
		rank.Held = order.Step
	case Release:
		rank.Held = 0
	}
}
