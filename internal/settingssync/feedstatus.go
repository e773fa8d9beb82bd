package settingssync

import (
	"slices"
	"strings"
	"time"

	"quetzalbend/internal/core/settings"
)

// AgentStatus reports which settings are in force at one agent.
type AgentStatus struct {
	Agent       string
	Offset      int64 // NoOffset before the first acknowledgement
	Incarnation string
	Age         time.Duration // since the last acknowledgement
}

// Agents returns the status of the agents that this entry feeds, in name order.
func (f *Feeder) Agents() []AgentStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	statuses := make([]AgentStatus, 0, len(f.assigned))
	for _, agent := range f.assigned {
		status := AgentStatus{Agent: agent.Name, Offset: settings.NoOffset}
		if last, ok := f.acks[agent.Name]; ok {
			status.Offset, status.Incarnation, status.Age = last.offset, last.incarnation, now.Sub(last.at)
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b AgentStatus) int { return strings.Compare(a.Agent, b.Agent) })
	return statuses
}

// addAgents adds the agents that this entry feeds to its own status.
func (f *Feeder) addAgents(status *NodeStatus) {
	for _, agent := range f.Agents() {
		status.Agents++
		status.AgentsOffset = min(status.AgentsOffset, agent.Offset)
		if agent.Offset < status.Offset && len(status.AgentsBehind) < maxAgentsBehind {
			status.AgentsBehind = append(status.AgentsBehind, agent.Agent)
		}
	}
}
