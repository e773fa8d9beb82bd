package limits

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// once returns the result of one run, which all tests share.
var once = sync.OnceValues(run)

func run() (Result, error) {
	command := Command{
		Seed: 7, Entries: 6, Limit: 60, Seconds: 90, DelayMS: 50, LossPart: 0.02,
		Targets: 8, Slots: 8, ServiceMS: 500, Accounts: 9, OthersRate: 36, FloodRate: 400, CreditPart: 0.7,
	}
	return command.Run()
}

func result(t *testing.T) Result {
	t.Helper()
	first, err := once()
	assert.NilError(t, err)
	return first
}

func TestSameSeedGivesTheSameFigures(t *testing.T) {
	again, err := run()
	assert.NilError(t, err)
	assert.DeepEqual(t, result(t), again)
}

func TestEntriesTogetherEnforceLimitUnderEachLoad(t *testing.T) {
	for _, enforcement := range result(t).Enforcement {
		if enforcement.Policy == "quetzalbend" {
			assert.Assert(t, enforcement.OfLimit <= 1.02, "%s: %g of the limit", enforcement.Load, enforcement.OfLimit)
			assert.Assert(t, enforcement.OfLimitInCut <= 1.02, "%s: %g of the limit in the cut", enforcement.Load, enforcement.OfLimitInCut)
		}
	}
}

func TestFloodDoesNotAffectOthers(t *testing.T) {
	for _, flood := range result(t).Flood {
		if flood.Policy == "quetzalbend" {
			assert.Equal(t, flood.OthersFailed, 0)
			assert.Assert(t, flood.Ratio <= 1.1, "ratio %g", flood.Ratio)
			assert.Assert(t, flood.SlotsUsed >= 0.7, "used %g", flood.SlotsUsed)
		}
	}
}

func TestCreditsLastUntilExpiryAndAreUsedByThen(t *testing.T) {
	for _, credits := range result(t).Credits {
		assert.Equal(t, credits.InteractiveLate, 0)
		if credits.Policy == "quetzalbend" {
			assert.Assert(t, credits.Used >= 0.99, "used %g", credits.Used)
			assert.Equal(t, credits.UnpaidHours, 0.0)
		}
	}
}

func TestInvalidFlagsAreRejected(t *testing.T) {
	_, err := (&Command{Entries: 0}).Run()
	assert.ErrorContains(t, err, "above 0")
}
