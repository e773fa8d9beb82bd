package mapchange

// holdAhead is how many passes ahead of the group a hold is placed: enough for
// the orders to arrive before the pass would begin.
const holdAhead = 3

// Next returns the orders to give now. want is the version of the map that the
// leader has planned, or 0 for none; it must be higher than every version that
// the ranks have had. ranks must hold all ranks of the group.
func Next(ranks []Rank, want int64) []Order {
	if !Whole(ranks) {
		return nil
	}
	if step := heldStep(ranks); step > 0 {
		return finish(ranks, step)
	}
	if anyArmed(ranks) {
		return nil // released; the ranks switch when they reach the pass
	}
	if want == 0 {
		return nil
	}
	if orders, prepared := prepare(ranks, want); !prepared {
		return orders
	}
	return []Order{{Operation: Hold, Rank: 0, Step: newestStep(ranks) + holdAhead}}
}

// Changing reports whether a change is under way that must be ended first.
func Changing(ranks []Rank) bool { return heldStep(ranks) > 0 || anyArmed(ranks) }

// Whole reports whether ranks are all ranks of one open group, in order.
func Whole(ranks []Rank) bool {
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

// finish ends a change whose pass is held: forward where every rank can still
// switch at it, else back.
func finish(ranks []Rank, step int64) []Order {
	if version := armable(ranks, step); version > 0 {
		if orders := arm(ranks, version, step); len(orders) > 0 {
			return orders
		}
		return release(ranks)
	}
	if orders := disarm(ranks); len(orders) > 0 {
		return orders
	}
	return release(ranks)
}

// armable returns the version that every rank is either armed with for the pass
// or has prepared, or 0 if there is none.
func armable(ranks []Rank, step int64) int64 {
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

// disarm returns the orders that are missing until no rank is armed and none
// can be armed by an earlier leader. A rank that is not armed is made to accept
// an order by one that asks for nothing new.
func disarm(ranks []Rank) []Order {
	var orders []Order
	for i := range ranks {
		r := &ranks[i]
		if r.Armed > 0 {
			orders = append(orders, Order{Operation: Disarm, Rank: i, Version: r.Armed})
		} else if !r.Touched {
			orders = append(orders, Order{Operation: Disarm, Rank: i, Version: r.Prepared})
		}
	}
	return orders
}

func release(ranks []Rank) []Order {
	var orders []Order
	for i := range ranks {
		if ranks[i].Held > 0 {
			orders = append(orders, Order{Operation: Go, Rank: i, Step: ranks[i].Held})
		}
	}
	return orders
}
