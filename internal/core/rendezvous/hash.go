// Package rendezvous hashes pairs of a key and a node, so that nodes can be ranked for a
// key without coordination (highest random weight hashing).
package rendezvous

import (
	"cmp"
	"slices"
)

// FNV-1a parameters, 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns the mixed FNV-1a hash of the parts, each followed by the byte 0xff.
func Hash(parts ...string) uint64 {
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

// Combine returns the hash of a key and a node, each given by a hash of its own.
func Combine(key, node uint64) uint64 { return mix(key ^ mix(node)) }

// Sort returns nodes in descending order of their hash with a key.
func Sort(key uint64, nodes []string) []string {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Compare(Combine(key, Hash(b)), Combine(key, Hash(a)))
	})
	return sorted
}
