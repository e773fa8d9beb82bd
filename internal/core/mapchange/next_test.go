package mapchange

import (
	"testing"

	"gotest.tools/v3/assert"
)

// heldGroup returns a group of three ranks that has begun step 8, with step 10
// held by this leader and version 5 prepared.
func heldGroup() []Rank {
	ranks := make([]Rank, 3)
	for i := range ranks {
		ranks[i] = Rank{Group: "g", Epoch: 1, Index: i, Size: 3, Open: true, Step: 8, Version: 4, Prepared: 5, Touched: true}
	}
	ranks[0].Held = 10
	return ranks
}

func TestArmsAllRanksAndThenReleases(t *testing.T) {
	ranks := heldGroup()
	orders := Next(ranks, Plan{WantedVersion: 5})
	assert.Equal(t, len(orders), 3)
	for _, order := range orders {
		assert.Equal(t, order, Order{Operation: Arm, Rank: order.Rank, Version: 5, Step: 10})
		Apply(&ranks[order.Rank], order)
	}
	assert.DeepEqual(t, Next(ranks, Plan{WantedVersion: 5}), []Order{{Operation: Release, Rank: 0, Step: 10}})
}

// A disarm order that got no answer may be carried out after the ranks were armed
// with the same version again and released. Found at step 267 of day scale-1 on
// mffa-entries, in a run in which processor time was not counted.
func TestAbandonedVersionIsNotArmedAgain(t *testing.T) {
	ranks := heldGroup()
	ranks[1].Armed, ranks[1].ArmedStep = 5, 10
	plan := Plan{WantedVersion: 6, Abandoned: map[int64]bool{5: true}}
	for _, order := range Next(ranks, plan) {
		assert.Assert(t, order.Operation == Disarm || order.Operation == Prepare, "%+v", order)
		assert.Assert(t, order.Operation != Prepare || order.Version == 6, "%+v", order)
	}
	assert.Assert(t, Stuck(ranks, plan))
}

func TestHoldIsPlacedFurtherAheadWhileOrdersAreLost(t *testing.T) {
	ranks := heldGroup()
	ranks[0].Held = 0
	assert.DeepEqual(t, Next(ranks, Plan{WantedVersion: 5}), []Order{{Operation: Hold, Rank: 0, Step: 10}})
	assert.DeepEqual(t, Next(ranks, Plan{WantedVersion: 5, OrdersLost: true}), []Order{{Operation: Hold, Rank: 0, Step: 14}})
}

func TestMapInForceIsNotArmedAgain(t *testing.T) {
	ranks := heldGroup()
	for i := range ranks {
		ranks[i].Version = 5
	}
	assert.Assert(t, Stuck(ranks, Plan{}))
	for _, order := range Next(ranks, Plan{WantedVersion: 6}) {
		assert.Equal(t, order.Operation, Prepare)
	}
}

func TestNewLeaderRenewsTheHoldFirst(t *testing.T) {
	ranks := heldGroup()
	for i := range ranks {
		ranks[i].Touched = false
	}
	assert.DeepEqual(t, Next(ranks, Plan{WantedVersion: 7}), []Order{{Operation: Hold, Rank: 0, Step: 10}})
}

func TestNoOrdersToAnIncompleteGroup(t *testing.T) {
	assert.Equal(t, len(Next(heldGroup()[:2], Plan{WantedVersion: 5})), 0)
	closed := heldGroup()
	closed[2].Open = false
	assert.Equal(t, len(Next(closed, Plan{WantedVersion: 5})), 0)
	mixed := heldGroup()
	mixed[1].Epoch = 2
	assert.Equal(t, len(Next(mixed, Plan{WantedVersion: 5})), 0)
}
