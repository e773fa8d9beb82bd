package settingssync

import "time"

// liveEntries returns the other entries that have been heard of lately, by
// failure domain.
func (f *Feeder) liveEntries(now time.Time) map[string][]Peer {
	live := map[string][]Peer{}
	for _, peer := range f.node.cfg.Peers {
		if f.node.table.live(peer.Name, now) {
			live[peer.FailureDomain] = append(live[peer.FailureDomain], peer)
		}
	}
	return live
}

// responsible reports whether this entry feeds an agent: it is one of the
// first live entries for it, those of its own failure domain before others.
func (f *Feeder) responsible(agent Agent, live map[string][]Peer) bool {
	own := Peer{Name: f.node.cfg.Name, FailureDomain: f.node.cfg.FailureDomain}
	near := live[agent.FailureDomain]
	if own.FailureDomain != agent.FailureDomain && len(near) >= feedersPerAgent {
		return false
	}
	better := countPreceding(near, own, agent)
	for domain, entries := range live {
		if better >= feedersPerAgent {
			break
		}
		if domain != agent.FailureDomain && own.FailureDomain != agent.FailureDomain {
			better += countPreceding(entries, own, agent)
		}
	}
	return better < feedersPerAgent
}

// countPreceding returns how many entries come before own for an agent.
func countPreceding(entries []Peer, own Peer, agent Agent) int {
	count := 0
	for _, entry := range entries {
		if precedes(entry, own, agent) {
			count++
		}
	}
	return count
}

// precedes reports whether entry a comes before entry b for an agent.
func precedes(a, b Peer, agent Agent) bool {
	near, other := a.FailureDomain == agent.FailureDomain, b.FailureDomain == agent.FailureDomain
	if near != other {
		return near
	}
	return score(a.Name, agent.Name) < score(b.Name, agent.Name)
}
