package settingssync

import (
	"slices"
	"strings"
	"time"

	"quetzalbend/internal/core/settings"
)

// AgentStatus is what is in force at one agent.
type AgentStatus struct {
	Agent       string
	Offset      int64 // NoOffset before the agent has said so
	Incarnation string
	Age         time.Duration // since the agent said so
}

// Agents returns the status of the agents that this entry feeds, in name order.
func (f *Feeder) Agents() []AgentStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	statuses := make([]AgentStatus, 0, len(f.want))
	for _, agent := range f.want {
		status := AgentStatus{Agent: agent.Name, Offset: settings.NoOffset}
		if known, ok := f.acks[agent.Name]; ok {
			status.Offset, status.Incarnation, status.Age = known.offset, known.incarnation, now.Sub(known.at)
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b AgentStatus) int { return strings.Compare(a.Agent, b.Agent) })
	return statuses
}

// fillStatus sums up the agents in the entry's own row.
func (f *Feeder) fillStatus(status *NodeStatus) {
	for _, agent := range f.Agents() {
		status.Agents++
		status.AgentsOffset = min(status.AgentsOffset, agent.Offset)
		if agent.Offset < status.Offset && len(status.AgentsBehind) < namesPerRow {
			status.AgentsBehind = append(status.AgentsBehind, agent.Agent)
		}
	}
}
