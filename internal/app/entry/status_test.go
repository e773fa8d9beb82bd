package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/settingssync"
)

func TestAgentsThatLagShowUpByName(t *testing.T) {
	cat := &catalog.Catalog{Targets: map[string]*catalog.Target{"fed": {}, "behind": {}, "level": {}}}
	entries := []settingssync.NodeStatus{
		{Node: "e0", Offset: 9, AgentsOffset: 9},
		{Node: "e1", Offset: 9, AgentsOffset: 4, AgentsBehind: []string{"behind"}},
		{Node: "gone", Offset: 2, AgentsOffset: 1, Silent: true},
	}
	fed := []settingssync.AgentStatus{{Agent: "fed", Offset: 7}}
	offsets := make(map[string]int64)
	for _, node := range nodesInForce(cat, entries, fed) {
		offsets[node.Name] = node.Offset
	}
	assert.DeepEqual(t, offsets, map[string]int64{"e0": 9, "e1": 9, "gone": 2, "fed": 7, "behind": 4, "level": 9})
}

func TestAgentsCountAsBehindWhereTooManyAreToBeNamed(t *testing.T) {
	behind := make([]string, maxAgentsNamed)
	entries := []settingssync.NodeStatus{{Node: "e0", Offset: 9, AgentsOffset: 3, AgentsBehind: behind}}
	assert.Equal(t, offsetByEntries("any", entries), int64(3))
	assert.Equal(t, offsetByEntries("any", nil), int64(-1))
}
