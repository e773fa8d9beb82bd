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
	return Nodes{Offset: r.snapshot.Offset(), Nodes: h.allNodes(r)}, nil
}

// allNodes returns every node that should have the settings, whether it has
// been heard of or not, in name order.
func (h *handler) allNodes(r request) []Node {
	known := map[string]Node{}
	for _, name := range h.cfg.Entries {
		known[name] = Node{Name: name, Kind: EntryNode, Offset: settings.NoOffset}
	}
	for name, target := range r.catalog.Targets {
		known[name] = Node{Name: name, Kind: AgentNode, FailureDomain: target.FailureDomain, Offset: settings.NoOffset}
	}
	if h.cfg.Status != nil {
		for _, node := range h.cfg.Status.Nodes() {
			known[node.Name] = withKnown(node, known[node.Name])
		}
	}
	known[h.cfg.Node] = Node{
		Name: h.cfg.Node, Kind: EntryNode, FailureDomain: h.cfg.FailureDomain, Offset: r.snapshot.Offset(),
	}
	nodes := make([]Node, 0, len(known))
	for _, name := range slices.Sorted(maps.Keys(known)) {
		nodes = append(nodes, known[name])
	}
	return nodes
}

// withKnown fills in what the settings say of a node that was heard of.
func withKnown(node, known Node) Node {
	if node.Kind == "" {
		node.Kind = known.Kind
	}
	if node.FailureDomain == "" {
		node.FailureDomain = known.FailureDomain
	}
	return node
}

// inForce answers which nodes have not reached an offset.
func (h *handler) inForce(r request) (any, error) {
	offset, err := number(r.URL.Query().Get("offset"), r.snapshot.Offset(), settings.NoOffset, math.MaxInt64)
	if err != nil {
		return nil, err
	}
	nodes := h.allNodes(r)
	answer := InForce{Offset: offset, Nodes: len(nodes), Missing: []Node{}}
	for _, node := range nodes {
		if node.Offset < offset {
			answer.Missing = append(answer.Missing, node)
		}
	}
	answer.InForce = len(answer.Missing) == 0
	return answer, nil
}

// loads returns the states of targets by name.
func (h *handler) loads() map[string]Load {
	if h.cfg.Status == nil {
		return nil
	}
	return h.cfg.Status.Targets()
}

func (h *handler) targets(r request) (any, error) {
	loads := h.loads()
	answer := Targets{Targets: []Target{}}
	for _, name := range slices.Sorted(maps.Keys(r.catalog.Targets)) {
		target := r.catalog.Targets[name]
		row := Target{Name: name, Serving: target.Serving(), Target: target.Target}
		row.Reason = outReason(target)
		if load, ok := loads[name]; ok {
			row.Load = &load
		}
		answer.Targets = append(answer.Targets, row)
	}
	return answer, nil
}

// outReason says why the settings let a target get no new work.
func outReason(target *catalog.Target) string {
	switch {
	case target.State == schema.Out:
		return "target is out"
	case target.DomainOut:
		return "failure domain " + target.FailureDomain + " is out"
	}
	return ""
}
