package limits

import (
	"testing"

	"gotest.tools/v3/assert"
)

func run(t *testing.T) Result {
	t.Helper()
	command := Command{
		Seed: 7, Entries: 6, Limit: 60, Seconds: 90, DelayMS: 50, LossPart: 0.02,
		Targets: 8, Slots: 8, ServiceMS: 500, Accounts: 9, OthersRate: 36, FloodRate: 400,
	}
	result, err := command.Run()
	assert.NilError(t, err)
	return result
}

func TestSameSeedGivesTheSameFigures(t *testing.T) {
	assert.DeepEqual(t, run(t), run(t))
}

func TestSharesHoldTheLimitUnderEachLoad(t *testing.T) {
	for _, held := range run(t).Held {
		if held.Policy == "quetzalbend" {
			assert.Assert(t, held.OfLimit <= 1.02, "%s: %g of the limit", held.Load, held.OfLimit)
			assert.Assert(t, held.OfLimitInCut <= 1.02, "%s: %g of the limit in the cut", held.Load, held.OfLimitInCut)
		}
	}
}

func TestFloodLeavesOthersAlone(t *testing.T) {
	for _, flood := range run(t).Flood {
		if flood.Policy == "quetzalbend" {
			assert.Equal(t, flood.OthersFailed, 0)
			assert.Assert(t, flood.Ratio <= 1.1, "ratio %g", flood.Ratio)
			assert.Assert(t, flood.SlotsUsed >= 0.7, "used %g", flood.SlotsUsed)
		}
	}
}

func TestWrongFlagsAreRefused(t *testing.T) {
	_, err := (&Command{Entries: 0}).Run()
	assert.ErrorContains(t, err, "above 0")
}
