package routing

import (
	"sort"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/rendezvous"
)

// RendezvousOrder returns the targets ordered by rendezvous hashing with key. The
// first one is called the key's home.
func RendezvousOrder(key string, targets []*catalog.Target) []*catalog.Target {
	type weightedTarget struct {
		target *catalog.Target
		weight uint64
	}
	all := make([]weightedTarget, len(targets))
	for i, target := range targets {
		all[i] = weightedTarget{target: target, weight: rendezvous.Hash(key, target.Name)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].weight != all[j].weight {
			return all[i].weight > all[j].weight
		}
		return all[i].target.Name < all[j].target.Name
	})
	ranked := make([]*catalog.Target, len(all))
	for i, w := range all {
		ranked[i] = w.target
	}
	return ranked
}
