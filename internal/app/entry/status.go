package entry

import (
	"slices"
	"time"

	"quetzalbend/internal/adapter/adminhttp"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/settingssync"
)

// maxAgentsNamed is how many agents an entry names as behind, at most.
const maxAgentsNamed = 8

// status tells operators what the entry knows of nodes and targets. It
// implements adminhttp.Status.
type status struct {
	tables *tables
	node   *settingssync.Node
	feeder *settingssync.Feeder
}

// Nodes implements adminhttp.Status.
func (s *status) Nodes() []adminhttp.Node {
	table := s.tables.Table()
	if table == nil {
		return nil
	}
	return nodesInForce(table.Catalog(), s.node.InForce(), s.feeder.Agents())
}

// nodesInForce returns the offset in force at each node: entries by what they
// say of themselves, agents that this entry feeds by their word, and other
// agents by what the entries say that feed them.
func nodesInForce(cat *catalog.Catalog, entries []settingssync.NodeStatus, fed []settingssync.AgentStatus) []adminhttp.Node {
	nodes := make([]adminhttp.Node, 0, len(entries)+len(cat.Targets))
	for _, entry := range entries {
		nodes = append(nodes, adminhttp.Node{
			Name: entry.Node, Kind: adminhttp.EntryNode, Offset: entry.Offset, AgeMS: entry.Age.Milliseconds(),
		})
	}
	own := make(map[string]settingssync.AgentStatus, len(fed))
	for _, agent := range fed {
		own[agent.Agent] = agent
	}
	for name, target := range cat.Targets {
		node := adminhttp.Node{Name: name, Kind: adminhttp.AgentNode, FailureDomain: target.FailureDomain}
		if agent, ok := own[name]; ok {
			node.Offset, node.AgeMS = agent.Offset, agent.Age.Milliseconds()
		} else {
			node.Offset = offsetByEntries(name, entries)
		}
		nodes = append(nodes, node)
	}
	return nodes
}

// offsetByEntries returns the lowest offset that an agent may have by what the
// entries say. Silent entries feed nobody: others have taken over their agents.
func offsetByEntries(agent string, entries []settingssync.NodeStatus) int64 {
	lowest, heard := int64(-1), false
	for _, entry := range entries {
		if entry.Silent {
			continue
		}
		offset := entry.Offset
		unnamed := len(entry.AgentsBehind) == maxAgentsNamed
		if unnamed || slices.Contains(entry.AgentsBehind, agent) {
			offset = entry.AgentsOffset
		}
		if !heard || offset < lowest {
			lowest, heard = offset, true
		}
	}
	return lowest
}

// Targets implements adminhttp.Status.
func (s *status) Targets() map[string]adminhttp.Load {
	table := s.tables.Table()
	if table == nil {
		return nil
	}
	loads := make(map[string]adminhttp.Load)
	now := time.Now()
	for name := range table.Catalog().Targets {
		view, ok := s.tables.states.Look(name, now)
		if !ok {
			continue
		}
		loads[name] = adminhttp.Load{
			Reachable:       !view.Avoided,
			Cold:            view.Cold,
			Leaving:         view.Leaving,
			Running:         view.Running,
			Queued:          view.Queued,
			Limit:           view.Limit,
			FirstTokenMS:    view.FirstTokenMS,
			BetweenTokensMS: view.BetweenTokensMS,
		}
	}
	return loads
}
