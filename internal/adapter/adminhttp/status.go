package adminhttp

import (
	"maps"
	"math"
	"slices"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
)

// status answers with the state of this entry.
func (h *handler) status(r request) (any, error) {
	answer := EntryStatus{
		Node:          h.cfg.Node,
		FailureDomain: h.cfg.FailureDomain,
		Offset:        r.snapshot.Offset(),
		Settings:      r.snapshot.Len(),
		Platform:      h.cfg.Settings.LogHealthy(),
		Unreadable:    []string{},
	}
	for _, path := range r.catalog.Unreadable {
		if r.operator.mayRead(path) {
			answer.Unreadable = append(answer.Unreadable, path)
		}
	}
	return answer, nil
}

func (h *handler) nodes(r request) (any, error) {
	return Nodes{Offset: r.snapshot.Offset(), Nodes: h.entries()}, nil
}

// entries returns all entries in name order.
func (h *handler) entries() []Node {
	statuses := h.cfg.Settings.NodeStatuses()
	nodes := make([]Node, 0, len(statuses))
	for _, status := range statuses {
		nodes = append(nodes, Node{
			Name: status.Node, Kind: EntryNode, Offset: status.Offset,
			AgeMS: status.Age.Milliseconds(), Silent: status.Silent,
			Agents: status.Agents, AgentsOffset: status.AgentsOffset, AgentsBehind: status.AgentsBehind,
		})
	}
	return nodes
}

// inForce answers with the nodes that have not reached an offset.
func (h *handler) inForce(r request) (any, error) {
	offset, err := queryNumber(r.URL.Query().Get("offset"), r.snapshot.Offset(), settings.NoOffset, math.MaxInt64)
	if err != nil {
		return nil, err
	}
	entries := h.entries()
	answer := InForce{Offset: offset, Nodes: len(entries) + len(r.catalog.Targets), Missing: []Node{}}
	for _, entry := range entries {
		if entry.Offset < offset {
			answer.Missing = append(answer.Missing, entry)
		}
	}
	answer.Missing = append(answer.Missing, agentsBelow(entries, offset)...)
	answer.InForce = len(answer.Missing) == 0
	return answer, nil
}

// agentsBelow returns the agents that an entry reports as behind, for entries whose
// agents' lowest offset is below the given one. Silent entries are left out, as
// their agents get the settings from other entries.
func agentsBelow(entries []Node, offset int64) []Node {
	var agents []Node
	for _, entry := range entries {
		if entry.Silent || entry.Agents == 0 || entry.AgentsOffset >= offset {
			continue
		}
		for _, name := range entry.AgentsBehind {
			known := func(n Node) bool { return n.Name == name }
			if !slices.ContainsFunc(agents, known) {
				agents = append(agents, Node{Name: name, Kind: AgentNode, Offset: entry.AgentsOffset, AgeMS: entry.AgeMS})
			}
		}
	}
	return agents
}

// loads returns the states of targets by name, or nil if none is known.
func (h *handler) loads() map[string]Load {
	if h.cfg.Targets == nil {
		return nil
	}
	return h.cfg.Targets()
}

func (h *handler) targets(r request) (any, error) {
	loads := h.loads()
	answer := Targets{Targets: []Target{}}
	for _, name := range slices.Sorted(maps.Keys(r.catalog.Targets)) {
		target := r.catalog.Targets[name]
		if !r.operator.mayRead(target.Path) {
			continue
		}
		row := Target{Name: name, Path: target.Path, Serving: target.Serving(), Target: target.Target}
		row.Reason = drainReason(target)
		if load, ok := loads[name]; ok {
			row.Load = &load
		}
		answer.Targets = append(answer.Targets, row)
	}
	return answer, nil
}

// drainReason returns why the settings give a target no new work, or "" if they do
// give it work.
func drainReason(target *catalog.Target) string {
	switch {
	case target.State == schema.Out:
		return "target is out"
	case target.DomainOut:
		return "failure domain " + target.FailureDomain + " is out"
	}
	return ""
}
