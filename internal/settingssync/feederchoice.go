package settingssync

import "time"

// liveEntries returns the other entries that are live, by failure domain.
func (f *Feeder) liveEntries(now time.Time) map[string][]Peer {
	live := map[string][]Peer{}
	for _, peer := range f.node.cfg.Peers {
		if f.node.statusTable.live(peer.Name, now) {
			live[peer.FailureDomain] = append(live[peer.FailureDomain], peer)
		}
	}
	return live
}

// responsible reports whether this entry feeds an agent: fewer than
// feedersPerAgent live entries precede it for the agent.
func (f *Feeder) responsible(agent Agent, live map[string][]Peer) bool {
	own := Peer{Name: f.node.cfg.Name, FailureDomain: f.node.cfg.FailureDomain}
	near := live[agent.FailureDomain]
	if own.FailureDomain != agent.FailureDomain && len(near) >= feedersPerAgent {
		return false
	}
	preceding := countPreceding(near, own, agent)
	for domain, entries := range live {
		if preceding >= feedersPerAgent {
			break
		}
		if domain != agent.FailureDomain && own.FailureDomain != agent.FailureDomain {
			preceding += countPreceding(entries, own, agent)
		}
	}
	return preceding < feedersPerAgent
}

// countPreceding returns how many of the entries precede own for an agent.
func countPreceding(entries []Peer, own Peer, agent Agent) int {
	count := 0
	for _, entry := range entries {
		if precedes(entry, own, agent) {
			count++
		}
	}
	return count
}

// precedes reports whether entry a is preferred to entry b for feeding an agent:
// entries of the agent's failure domain come first, then the lower score.
func precedes(a, b Peer, agent Agent) bool {
	aNear, bNear := a.FailureDomain == agent.FailureDomain, b.FailureDomain == agent.FailureDomain
	if aNear != bNear {
		return aNear
	}
	return rendezvousScore(a.Name, agent.Name) < rendezvousScore(b.Name, agent.Name)
}
