package demand

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testSets    = 2
	testExperts = 8
	testRanks   = 4
	testRound   = 120 * time.Millisecond
)

// simRanks simulates ranks that report counts.
type simRanks struct {
	random *rand.Rand
	counts [testRanks][]int64
	hot    int // expert that gets half of all choices
}

func newSimRanks() *simRanks {
	s := &simRanks{random: rand.New(rand.NewPCG(1, 1))}
	for r := range s.counts {
		s.counts[r] = make([]int64, testSets*testExperts)
	}
	return s
}

func (s *simRanks) runRound(w *Window, now time.Time) {
	for r := range s.counts {
		for set := range testSets {
			for range 2000 {
				expert := s.random.IntN(testExperts)
				if s.random.IntN(2) == 0 {
					expert = s.hot
				}
				s.counts[r][set*testExperts+expert]++
			}
		}
		w.Add(string(rune('a'+r)), 1, 1, append([]int64(nil), s.counts[r]...))
	}
	w.EndRound(now)
}

func hottest(loads []float64) int {
	best := 0
	for e := range loads {
		if loads[e] > loads[best] {
			best = e
		}
	}
	return best
}

func TestLoadsFollowAShiftOfDemand(t *testing.T) {
	w, s := NewWindow(), newSimRanks()
	now := time.Unix(1000, 0)
	for range 10 {
		now = now.Add(testRound)
		s.runRound(w, now)
	}
	loads := w.Loads(testSets)
	assert.Equal(t, hottest(loads[0]), 0)

	s.hot = 5
	now = now.Add(testRound)
	s.runRound(w, now)
	assert.Assert(t, w.Loads(testSets) == nil, "loads are returned during a shift of demand")
	now = now.Add(testRound)
	s.runRound(w, now)
	loads = w.Loads(testSets)
	assert.Assert(t, loads != nil)
	assert.Equal(t, hottest(loads[1]), 5)
	share := loads[0][5] / (loads[0][0] + loads[0][1] + loads[0][5])
	assert.Assert(t, share > 0.75, "loads include demand from before the shift: %.2f", share)
}

func TestRoundLongerThanTheWindowIsCounted(t *testing.T) {
	w, s := NewWindow(), newSimRanks()
	now := time.Unix(1000, 0)
	for range 4 {
		now = now.Add(2 * maxSpan)
		s.runRound(w, now)
	}
	assert.Assert(t, w.Loads(testSets) != nil)
}

func TestRestartedRankCountsFromZero(t *testing.T) {
	w, s := NewWindow(), newSimRanks()
	now := time.Unix(1000, 0)
	for range 3 {
		now = now.Add(testRound)
		s.runRound(w, now)
	}
	w.Add("a", 2, 1, make([]int64, testSets*testExperts))
	w.EndRound(now.Add(testRound))
	loads := w.Loads(testSets)
	assert.Assert(t, loads != nil)
	for _, load := range loads[0] {
		assert.Assert(t, load >= 0)
	}
}
