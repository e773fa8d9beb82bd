package rest

import (
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

// Some targets reject all for a time. Each request is sent to the first target that may
// get it and answered after a random time, as a gateway under load does.
func TestTargetsGetAtMostTwoRequestsDuringARest(t *testing.T) {
	const settle = 500 * time.Millisecond // in which requests that are under way may arrive
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 7))
		table := NewTable()
		type answer struct {
			target uint64
			at     time.Time
			lost   bool
		}
		var answers []answer
		restUntil, restFrom, inRest, served := map[uint64]time.Time{}, map[uint64]time.Time{}, map[uint64]int{}, 0
		for ms := range 20000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for i := 0; i < len(answers); i++ {
				a := answers[i]
				if a.at.After(now) {
					continue
				}
				answers = append(answers[:i], answers[i+1:]...)
				i--
				rejects := a.target < 2 && ms < 12000
				switch {
				case a.lost:
					table.RecordUnanswered(a.target)
				case rejects:
					table.Ask(a.target, 3*time.Second, now)
					restFrom[a.target], restUntil[a.target], inRest[a.target] = now.Add(settle), now.Add(3*time.Second), 0
				default:
					table.RecordServed(a.target, now)
					served++
				}
			}
			if random.IntN(10) > 0 {
				continue
			}
			for _, id := range []uint64{0, 1, 2} {
				if !table.Allow(id, now) {
					continue
				}
				table.RecordSent(id, now)
				if now.After(restFrom[id]) && now.Before(restUntil[id]) {
					inRest[id]++
				}
				assert.Assert(t, inRest[id] <= 2, "seed %d: target %d at %d ms", seed, id, ms)
				answers = append(answers, answer{id, now.Add(time.Duration(1+random.IntN(200)) * time.Millisecond), random.IntN(20) == 0})
				break
			}
		}
		assert.Assert(t, served > 1500, "seed %d: served %d", seed, served)
	}
}
