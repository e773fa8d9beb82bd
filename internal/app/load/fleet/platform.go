package fleet

import "quetzalbend/internal/app/standin/platform"

// cutPlatform cuts the nodes of a domain off from the platform, or reconnects
// all nodes to it.
func (f *Fleet) cutPlatform(domain string, cut bool) {
	nodes := []string{}
	if cut {
		for _, a := range f.agents {
			if a.domain == domain {
				nodes = append(nodes, a.name)
			}
		}
		for i, e := range f.entries {
			if e.domain == domain {
				nodes = append(nodes, f.name("e", i))
			}
		}
	}
	f.platform.SetFaults(platform.Faults{Cut: &nodes})
}
