package routing

import (
	"sort"

	"quetzalbend/internal/core/catalog"
)

// FNV-1a parameters, 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hash returns the mixed FNV-1a hash of the parts, each followed by the byte 0xff.
func hash(parts ...string) uint64 {
	sum := uint64(fnvOffset)
	for _, part := range parts {
		for i := 0; i < len(part); i++ {
			sum = (sum ^ uint64(part[i])) * fnvPrime
		}
		sum = (sum ^ 0xff) * fnvPrime
	}
	return mix(sum)
}

// mix spreads the low bits of an FNV hash over the whole word. It is the finalizer
// of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// RendezvousOrder returns the targets ordered by rendezvous hashing with key. The
// first one is called the key's home.
func RendezvousOrder(key string, targets []*catalog.Target) []*catalog.Target {
	type weightedTarget struct {
		target *catalog.Target
		weight uint64
	}
	all := make([]weightedTarget, len(targets))
	for i, target := range targets {
		all[i] = weightedTarget{target: target, weight: hash(key, target.Name)}
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
