package share

import "quetzalbend/internal/core/rendezvous"

// Members are the gateways among which limits are divided: this one and all others that
// may be running. It does not change. A nil Members stands for gateways that are not
// known yet.
type Members struct {
	self   uint64
	others []uint64
}

// NewMembers returns the members with these names. self is a member whether others
// contains it or not.
func NewMembers(self string, others []string) *Members {
	m := &Members{self: rendezvous.Hash(self)}
	for _, other := range others {
		if other != self {
			m.others = append(m.others, rendezvous.Hash(other))
		}
	}
	return m
}

// Count returns the number of members.
func (m *Members) Count() int {
	if m == nil {
		return 0
	}
	return len(m.others) + 1
}

// Rank returns how many members come before this one for a key. The order differs from
// key to key, and is the same at all members.
func (m *Members) Rank(key uint64) int {
	own := rendezvous.Combine(key, m.self)
	rank := 0
	for _, other := range m.others {
		if rendezvous.Combine(key, other) > own {
			rank++
		}
	}
	return rank
}

// NamesByRank returns the names in the order that Rank gives them for a key.
func NamesByRank(key uint64, names []string) []string {
	return rendezvous.Sort(key, names)
}
