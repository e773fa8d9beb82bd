package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestChangesReachAllNodesAndTheirTrafficIsCounted(t *testing.T) {
	command := Command{Seed: 1, Nodes: 4, Targets: 8, Accounts: 50, Domains: 2, Idle: time.Second, Changes: 3}
	result, err := command.Run(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, result.Platform.Connections > 0, true)
	assert.Assert(t, result.Agents.Connections >= 16, "each agent is fed by two entries")
	assert.Assert(t, result.Platform.BytesPerChange > 0)
	assert.Assert(t, result.InForceMSMax >= result.InForceMSP50)
}
