package mapchange

// How many steps ahead of the group's latest step a hold is placed: enough for
// all ranks to be armed before the held step would begin.
const (
	holdAhead       = 2
	holdAheadOnLoss = 6 // while orders are lost and have to be sent again
)

// Plan is what a leader wants a group to do.
type Plan struct {
	// WantedVersion is the version of the map to put in force, or 0 for none. It
	// must be higher than every version that the ranks have had.
	WantedVersion int64
	// Abandoned holds the versions for which the leader has sent disarm orders.
	// Such an order may still be in flight, so the versions are not armed again.
	Abandoned map[int64]bool
	// OrdersLost is set if orders have recently got no answer.
	OrdersLost bool
}

func (p Plan) holdAhead() int64 {
	if p.OrdersLost {
		return holdAheadOnLoss
	}
	return holdAhead
}

// Next returns the orders to send now. ranks must hold all ranks of the group,
// each in its state after the last order of this leader. Next returns no orders
// for an incomplete group.
func Next(ranks []Rank, plan Plan) []Order {
	if !Complete(ranks) {
		return nil
	}
	if step := heldStep(ranks); step > 0 {
		return finish(ranks, step, plan)
	}
	if anyArmed(ranks) {
		return nil // released; the ranks switch when they reach the step
	}
	if plan.WantedVersion == 0 {
		return nil
	}
	if orders, prepared := prepare(ranks, plan.WantedVersion); !prepared {
		return orders
	}
	return []Order{{Operation: Hold, Rank: 0, Step: latestStep(ranks) + plan.holdAhead()}}
}

// Changing reports whether a change is in progress, which must be finished before
// another one can begin.
func Changing(ranks []Rank) bool { return heldStep(ranks) > 0 || anyArmed(ranks) }

// Stuck reports whether a step is held at which the ranks cannot all switch to
// the same map. The leader must then set Plan.WantedVersion; if that map places
// the experts as the map in force does, no rank has to load any.
func Stuck(ranks []Rank, plan Plan) bool {
	step := heldStep(ranks)
	return step > 0 && armableVersion(ranks, step, plan) == 0
}

// Complete reports whether ranks holds every rank of one open group, in the order
// of their indexes and in the same epoch.
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

func latestStep(ranks []Rank) int64 {
	latest := int64(0)
	for i := range ranks {
		latest = max(latest, ranks[i].Step)
	}
	return latest
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

// finish returns the orders that finish a change whose step is held. If every rank
// can still switch to the same map at that step, they all do. Otherwise no rank may
// keep a prepared map that an earlier order, or one still in flight, could arm: all
// ranks prepare the wanted map and switch to that one.
//
// The holder gets the first order: once it has accepted an order of this leader,
// no earlier leader can release it while ranks are being armed or disarmed. That
// order repeats the hold, which either changes nothing or revokes a release that
// no rank has acted on yet.
func finish(ranks []Rank, step int64, plan Plan) []Order {
	if holder := unconfirmedHolder(ranks); holder >= 0 {
		return []Order{{Operation: Hold, Rank: holder, Step: ranks[holder].Held}}
	}
	switch armedStep := firstArmedStep(ranks); {
	case armedStep > 0 && armedStep < step:
		return nil // an earlier change that was released; the ranks switch before they reach the held step
	case armedStep > step && armableVersion(ranks, armedStep, Plan{}) > 0:
		return release(ranks) // the hold arrived late and protects nothing: all ranks can switch at the later step
	}
	version := armableVersion(ranks, step, plan)
	if version == 0 {
		return replacePrepared(ranks, plan.WantedVersion)
	}
	if orders := arm(ranks, version, step); len(orders) > 0 {
		return orders
	}
	return release(ranks)
}

// firstArmedStep returns the earliest step at which a rank is armed to switch, or 0
// if none is armed.
func firstArmedStep(ranks []Rank) int64 {
	first := int64(0)
	for i := range ranks {
		if r := &ranks[i]; r.Armed > 0 && (first == 0 || r.ArmedStep < first) {
			first = r.ArmedStep
		}
	}
	return first
}

// unconfirmedHolder returns the index of a rank that holds a step and has not
// accepted an order of this leader, or -1 if there is none.
func unconfirmedHolder(ranks []Rank) int {
	for i := range ranks {
		if ranks[i].Held > 0 && !ranks[i].Touched && !ranks[i].HoldConfirmed {
			return i
		}
	}
	return -1
}

// armableVersion returns the version that every rank is either armed with for the
// step or has prepared, or 0 if there is none, if the plan has abandoned it or if it is
// in force: ranks that are armed with the map in force can be neither disarmed nor
// prepared, so that the group would stay on hold.
func armableVersion(ranks []Rank, step int64, plan Plan) int64 {
	version := int64(0)
	for i := range ranks {
		r := &ranks[i]
		candidate := r.Prepared
		if r.Armed > 0 {
			if r.ArmedStep != step {
				return 0
			}
			candidate = r.Armed
		}
		if candidate == 0 || candidate == r.Version || version != 0 && candidate != version {
			return 0
		}
		version = candidate
	}
	if plan.Abandoned[version] {
		return 0
	}
	return version
}

// arm returns the orders still needed until every rank is known to be armed. An earlier
// leader may have disarmed a rank after its report, unless the rank had accepted an order
// of this leader by then.
func arm(ranks []Rank, version, step int64) []Order {
	var orders []Order
	for i := range ranks {
		if ranks[i].Armed != version || !ranks[i].Touched {
			orders = append(orders, Order{Operation: Arm, Rank: i, Version: version, Step: step})
		}
	}
	return orders
}

// replacePrepared returns the orders that make all ranks prepare the wanted map,
// after disarming those that are armed.
func replacePrepared(ranks []Rank, want int64) []Order {
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

// Apply updates a rank's state with the effect of an order that the rank has
// accepted, so that the next orders need not wait for another read.
func Apply(rank *Rank, order Order) {
	switch order.Operation {
	case Prepare:
		rank.Busy = true // until a read shows that the rank has loaded the experts
	case Arm:
		rank.Armed, rank.ArmedStep, rank.Touched = order.Version, order.Step, true
	case Disarm:
		rank.Armed, rank.ArmedStep, rank.Touched = 0, 0, true
	case Hold:
		rank.Held, rank.HoldConfirmed = order.Step, true
	case Release:
		rank.Held = 0
	}
}
