package settingssync

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/settings"
)

// Sizes of the benchmark.
const (
	benchEntries = 420
	benchTargets = 3700
	benchRanks   = 256
	benchDomains = 6
)

// benchCatalog returns a catalog of benchTargets targets in groups of up to
// benchRanks ranks.
func benchCatalog() *catalog.Catalog {
	var entries []settings.Entry
	var ranks []string
	for i := range benchTargets {
		name := fmt.Sprintf("target-%04d", i)
		entries = append(entries, settings.Entry{Path: "/targets/" + name, Value: fmt.Appendf(nil,
			`{"agent":"10.0.%d.%d:1","failure_domain":"d%d","kind":"model","serves":["m"]}`, i/250, i%250, i%benchDomains)})
		ranks = append(ranks, `"`+name+`"`)
		if len(ranks) == benchRanks || i == benchTargets-1 {
			entries = append(entries, settings.Entry{Path: fmt.Sprintf("/groups/g%d", i), Value: fmt.Appendf(nil,
				`{"ranks":[%s],"layers":1,"experts":256,"slots_per_rank":2}`, strings.Join(ranks, ","))})
			ranks = nil
		}
	}
	return catalog.Build(settings.NewSnapshot(1, entries))
}

// BenchmarkReconcile measures how long an entry takes to decide which agents it
// feeds, after a change of the settings and without one.
func BenchmarkReconcile(b *testing.B) {
	var peers []Peer
	for i := range benchEntries {
		peers = append(peers, Peer{Name: fmt.Sprintf("e%03d", i), FailureDomain: fmt.Sprintf("d%d", i%benchDomains)})
	}
	c := benchCatalog()
	node := NewNode(Config{Name: peers[0].Name, FailureDomain: "d0", Peers: peers[1:]})
	ctx, cancel := context.WithCancel(b.Context())
	cancel()
	feeder := NewFeeder(node, nil, func(*settings.Snapshot) []Agent { return AgentsOf(c) })
	var streams sync.WaitGroup
	b.Run("changed", func(b *testing.B) {
		for offset := int64(0); b.Loop(); offset++ {
			node.store.snapshot.Store(settings.NewSnapshot(offset, nil))
			feeder.reconcile(ctx, &streams)
		}
	})
	b.Run("unchanged", func(b *testing.B) {
		for b.Loop() {
			feeder.reconcile(ctx, &streams)
		}
	})
}
