package limits

import (
	"context"
	"testing"

	"github.com/apex/log"
	"gotest.tools/v3/assert"
)

func TestFloodOfRealProcessesFailsNobodyElse(t *testing.T) {
	log.SetLevel(log.FatalLevel)
	command := FloodCommand{
		Domains: 2, Entries: 1, Engines: 1, MaxLimit: 4, Tokens: 4, BetweenMS: 5, OthersRate: 20, FloodRate: 400, Seconds: 1,
	}
	result, err := command.Run(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, result.OthersFailed, 0)
	assert.Assert(t, result.MaxRunning <= command.MaxLimit, "%d at one engine", result.MaxRunning)
	assert.Assert(t, result.FloodPerSecond > 0)
}
