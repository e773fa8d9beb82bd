package limits

import (
	"context"
	"testing"

	"github.com/apex/log"
	"gotest.tools/v3/assert"
)

func TestFloodOfRealProcessesFailsNoOtherRequests(t *testing.T) {
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

func TestFloodOfRealProcessesLeavesOthersPrompt(t *testing.T) {
	log.SetLevel(log.FatalLevel)
	command := FloodCommand{
		Domains: 2, Entries: 2, Engines: 2, MaxLimit: 8, Queue: 8, Tokens: 20, BetweenMS: 5, OthersRate: 40, FloodRate: 800, Seconds: 3,
	}
	result, err := command.Run(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, result.Ratio <= 1.1, "others' p95 rose from %.1f to %.1f ms", result.P95BeforeMS, result.P95DuringMS)
}
