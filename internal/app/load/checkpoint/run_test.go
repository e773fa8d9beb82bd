package checkpoint

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestBothWaysGiveAFreshReaderAllPaths(t *testing.T) {
	command := Command{Seed: 1, Accounts: 2000, ChangesPerDay: 400, RetentionDays: 7, IntervalHours: 6, CarryPart: 0.8}
	result, err := command.Run(t.Context())
	assert.NilError(t, err)
	checkpoints, carry := result.Costs[0], result.Costs[1]
	assert.Equal(t, checkpoints.StartPaths, 2000)
	assert.Equal(t, carry.StartPaths, 2000)
	assert.Equal(t, carry.StartRecords, int64(2000+7*400))
	again, err := command.Run(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, again.Costs[0].FollowerBytesADay, checkpoints.FollowerBytesADay)
	assert.Equal(t, again.Costs[1].BytesPerDay, carry.BytesPerDay)
}

func TestInvalidSizesAreRejected(t *testing.T) {
	_, err := (&Command{Accounts: 1, ChangesPerDay: 1, RetentionDays: 1, IntervalHours: 6, CarryPart: 1}).Run(t.Context())
	assert.ErrorContains(t, err, "below 1")
}
