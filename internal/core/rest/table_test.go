package rest

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func TestTargetAtRestIsSentNothingAndThenOneRequest(t *testing.T) {
	table := NewTable()
	assert.Assert(t, table.Allow(1, start))
	assert.Assert(t, table.Ask(1, 3*time.Second, start))
	assert.Assert(t, !table.Ask(1, time.Second, start.Add(time.Second)))
	assert.Equal(t, table.Remaining(1, start.Add(time.Second)), 2*time.Second)
	assert.Assert(t, !table.Allow(1, start.Add(2999*time.Millisecond)))
	assert.Assert(t, table.Allow(2, start))

	end := start.Add(3 * time.Second)
	assert.Assert(t, table.Allow(1, end))
	table.RecordSent(1, end)
	assert.Assert(t, !table.Allow(1, end), "its first request is not answered yet")
	table.RecordUnanswered(1)
	assert.Assert(t, table.Allow(1, end))
	table.RecordSent(1, end)
	assert.Assert(t, table.Allow(1, end.Add(trialTimeout)), "an attempt may take long")
	table.RecordServed(1, end.Add(time.Second))
	assert.Assert(t, table.Empty())
}

// An answer to a request that was sent before the rest ended it.
func TestAnswerThatWasUnderWayDoesNotEndARest(t *testing.T) {
	table := NewTable()
	table.Ask(1, 3*time.Second, start)
	table.RecordServed(1, start.Add(time.Second))
	assert.Assert(t, !table.Allow(1, start.Add(time.Second)))
}

func TestTargetsThatAskedLongAgoAreForgotten(t *testing.T) {
	table := NewTable()
	for id := range uint64(maxTargets) {
		table.Ask(id, time.Second, start)
	}
	assert.Assert(t, !table.Ask(maxTargets, time.Second, start), "the table is bounded")
	later := start.Add(2 * lifetime)
	assert.Assert(t, table.Ask(maxTargets, time.Second, later))
	assert.Equal(t, len(table.targets), 1)
}

const (
	settle       = 500 * time.Millisecond // after an answer, in which requests that are under way may arrive
	restTime     = 3 * time.Second
	restArrivals = 2 // that may reach a target between settle and the end of its rest
	loadSeconds  = 20
	rejecting    = 12 * time.Second // for which the first two of three targets reject all
	maxTravel    = 200              // milliseconds until an answer
	lostOneIn    = 20               // answers
	sentOneIn    = 10               // milliseconds
)

// pendingAnswer is the answer of a target that has not arrived yet.
type pendingAnswer struct {
	target uint64
	at     time.Time
	lost   bool
}

// loadRun is a gateway under load before three targets. Each request goes to the first of
// them that may get it, and is answered after a random time.
type loadRun struct {
	t        *testing.T
	random   *rand.Rand
	table    *Table
	pending  []pendingAnswer
	askedAt  map[uint64]time.Time
	arrivals map[uint64]int // during the rest that was asked for last
	served   int
}

func (r *loadRun) step(now time.Time) {
	var later []pendingAnswer
	for _, answer := range r.pending {
		if answer.at.After(now) {
			later = append(later, answer)
			continue
		}
		r.receive(answer, now)
	}
	r.pending = later
	if r.random.IntN(sentOneIn) == 0 {
		r.send(now)
	}
}

func (r *loadRun) receive(answer pendingAnswer, now time.Time) {
	switch {
	case answer.lost:
		r.table.RecordUnanswered(answer.target)
	case answer.target < 2 && now.Sub(start) < rejecting:
		r.table.Ask(answer.target, restTime, now)
		r.askedAt[answer.target], r.arrivals[answer.target] = now, 0
	default:
		r.table.RecordServed(answer.target, now)
		r.served++
	}
}

func (r *loadRun) send(now time.Time) {
	for id := range uint64(3) {
		if !r.table.Allow(id, now) {
			continue
		}
		r.table.RecordSent(id, now)
		if since := now.Sub(r.askedAt[id]); since > settle && since < restTime {
			r.arrivals[id]++
		}
		assert.Assert(r.t, r.arrivals[id] <= restArrivals, "target %d at %s", id, now.Sub(start))
		travel := time.Duration(1+r.random.IntN(maxTravel)) * time.Millisecond
		r.pending = append(r.pending, pendingAnswer{id, now.Add(travel), r.random.IntN(lostOneIn) == 0})
		return
	}
}

func TestTargetsGetAtMostTwoRequestsDuringARest(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := &loadRun{
				t: t, random: rand.New(rand.NewPCG(seed, 7)), table: NewTable(),
				askedAt: make(map[uint64]time.Time), arrivals: make(map[uint64]int),
			}
			for ms := range loadSeconds * 1000 {
				r.step(start.Add(time.Duration(ms) * time.Millisecond))
			}
			assert.Assert(t, r.served > 1500, "served %d", r.served)
		})
	}
}
