// Package readers decides which gateways of a failure domain read the platform's
// store, and which get its content from another gateway.
package readers

import "time"

// MaxReadAge is the maximum age of a gateway's last read of the store up to which
// other gateways rely on it. It is longer than the time that a read waits for changes.
const MaxReadAge = 1400 * time.Millisecond

// Gateway is another gateway of the same failure domain.
type Gateway struct {
	Name         string
	SettingsAsOf time.Time // when it last knew all settings
	TargetsAsOf  time.Time // when it last knew the whole registry
	Era          int64     // era of the store that it has read
}

func (g Gateway) fresh(era int64, now time.Time) bool {
	return g.Era >= era && now.Sub(g.SettingsAsOf) <= MaxReadAge && now.Sub(g.TargetsAsOf) <= MaxReadAge
}

// Choose returns the gateway that reads the store for self: the first by name of
// those before self whose reads are recent enough, and not from an era of the store
// before the given one. It reports false if self is to read the store.
func Choose(self string, era int64, others []Gateway, now time.Time) (Gateway, bool) {
	var chosen Gateway
	found := false
	for _, g := range others {
		if g.Name >= self || !g.fresh(era, now) {
			continue
		}
		if !found || g.Name < chosen.Name {
			chosen, found = g, true
		}
	}
	return chosen, found
}
