package affinity

import (
	"testing"

	"gotest.tools/v3/assert"
)

func results(t *testing.T, seed uint64) map[string]Result {
	t.Helper()
	command := Command{
		Seed: seed, Entries: 6, Targets: 16, Slots: 8, Prefixes: 400, Cached: 40, Zipf: 1.1,
		Rate: 160, HitMS: 250, MissMS: 500, LossS: 60, Seconds: 60,
	}
	list, err := command.Run()
	assert.NilError(t, err)
	byName := make(map[string]Result)
	for _, result := range list {
		byName[result.Policy] = result
	}
	return byName
}

// TestAffinityHitsWithoutOverload requires that affinity has a hit rate at least
// 1.1 times that of the strategies without affinity, no more imbalance than plain
// hashing, and a 95th percentile of latency below that of every baseline.
func TestAffinityHitsWithoutOverload(t *testing.T) {
	for seed := range uint64(4) {
		r := results(t, seed+11)
		own := r["quetzalbend"]
		assert.Assert(t, own.HitRate >= r["random"].HitRate*1.1, "%+v", r)
		assert.Assert(t, own.HitRate >= r["least outstanding"].HitRate*1.1, "%+v", r)
		assert.Assert(t, own.Imbalance <= r["plain hashing"].Imbalance, "%+v", r)
		for name, other := range r {
			assert.Assert(t, name == own.Policy || own.P95MS < other.P95MS, "%s: %+v", name, r)
		}
	}
}

func TestSameSeedGivesTheSameFigures(t *testing.T) {
	assert.DeepEqual(t, results(t, 5), results(t, 5))
}
