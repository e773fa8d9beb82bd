package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/poison"
	"quetzalbend/platform"
	"quetzalbend/platform/platformtest"
)

// putVersions writes the settings of the given versions, each with a route of its own,
// and waits until the last one is in force.
func putVersions(b *testbed, versions ...int) {
	b.t.Helper()
	var routes []object
	for _, version := range versions {
		routes = append(routes, testRoute(fmt.Sprintf("/v%d/", version), "idempotent", nil))
		b.store.PutJSON(b.t, "keyed.op", "config", testSettings(version, routes...))
		b.wait("the version is in force", func() bool { return b.gateway.state.View().Settings.Version == int64(version) })
	}
}

// A confirmed change was not in force for seconds after the store had come back from a
// copy, at gateways that had read as many records as the store then had again.
func TestSettingsWrittenAfterTheStoreCameBackOlderTakeEffect(t *testing.T) {
	for written := range 5 {
		t.Run(fmt.Sprint(written, " written since the copy"), func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, platformtest.NewTarget(t, "i-1"))
			held := b.store.Copy()
			for version := range written {
				putVersions(b, version+2)
			}
			b.store.Restore(held)
			acked := time.Now()
			b.store.PutJSON(t, "keyed.op", "config", testSettings(50, testRoute("/new/", "idempotent", nil)))
			b.wait("the route is there", func() bool { return b.get("/new/").status == 200 })
			assert.Assert(t, time.Since(acked) < 2*time.Second, "took %s", time.Since(acked))
		})
	}
}

// A gateway that started after the store had come back from a copy did not know of one
// whose record the copy lacked, and used shares of common limits that were too large.
func TestNodeIsAnnouncedAgainWhenTheStoreCameBackWithoutIt(t *testing.T) {
	b := newTestbed(t)
	announced := func() bool {
		batch, err := b.gateway.store.Newest(t.Context(), platform.TopicNodes)
		return err == nil && len(batch.Records) == 1
	}
	empty := platformtest.NewStore(t).Copy()
	b.wait("the node is announced", announced)
	b.store.Restore(empty)
	restored := time.Now()
	b.wait("the node is announced again", announced)
	assert.Assert(t, time.Since(restored) < 3*time.Second, "took %s", time.Since(restored))
}

// A record of a node that the store's copy held counted as a sign of life of the node.
func TestNodeRecordOfTheCopyIsNoSignOfLife(t *testing.T) {
	b := newTestbed(t)
	record := func(revision int) []platform.Record {
		value := fmt.Appendf(nil, `{"control":"127.0.0.1:1","loads":"127.0.0.1:2","revision":%d}`, revision)
		return []platform.Record{{Key: "gone", Value: value}}
	}
	now := time.Now()
	b.gateway.peers.recordNodes(record(5), now)
	b.gateway.peers.recordNodes(record(3), now.Add(nodeLifetime-time.Second))
	b.gateway.peers.recordNodes(nil, now.Add(nodeLifetime+time.Second))
	b.gateway.peers.mu.Lock()
	defer b.gateway.peers.mu.Unlock()
	_, known := b.gateway.peers.nodes["gone"]
	assert.Assert(t, !known)
}

// A part that crashes targets was tried anew after the store had come back from a copy that
// lacked it and all gateways had restarted.
func TestRefusedPartIsWrittenAgainWhenTheStoreCameBackWithoutIt(t *testing.T) {
	b := newTestbed(t)
	held := b.store.Copy()
	for i := range uint64(2) {
		at := time.Now().Add(time.Duration(i)*2*time.Second - time.Minute)
		b.gateway.poison.table.RecordCrash([]poison.Loss{{Parts: []string{"p"}}}, i, at)
	}
	select {
	case b.gateway.poison.barred <- struct{}{}:
	default:
	}
	stored := func() bool {
		batch, err := b.gateway.store.Newest(t.Context(), platform.TopicParts)
		return err == nil && len(batch.Records) == 1
	}
	b.wait("the part is written", stored)
	b.store.Restore(held)
	restored := time.Now()
	b.wait("the part is written again", stored)
	assert.Assert(t, time.Since(restored) < 3*time.Second, "took %s", time.Since(restored))
}

// A gateway that had read the store's new era followed another one that had not.
func TestGatewayReadsTheStoreItselfUntilItsReaderHasMetTheNewEra(t *testing.T) {
	one := platformtest.NewTarget(t, "i-1")
	b := newTestbed(t, one)
	store := platformtest.NewStore(t)
	store.PutJSON(t, "keyed.op", "config", testSettings(1))
	store.PutJSON(t, "keyed.servers", one.ID, targetRecord(one, nil))
	store.Restore(store.Copy())
	g, _, _ := startGateway(t, "gateway-2", store.Address(), nil)
	copyRecord(t, store, b.gateway)
	copyRecord(t, b.store, g)
	other := &testbed{t: t, store: store, gateway: g}
	other.waitReady()
	other.wait("the gateway knows what the reader has read", func() bool {
		g.peers.mu.Lock()
		defer g.peers.mu.Unlock()
		return len(g.peers.readers) == 1
	})
	_, found := g.peers.Reader()
	assert.Assert(t, !found)
	b.store.PutJSON(t, "keyed.op", "config", testSettings(9))
	b.wait("the reader has a version of its era", func() bool { return b.gateway.state.View().Settings.Version == 9 })
	store.PutJSON(t, "keyed.op", "config", testSettings(5))
	other.wait("the new era's version is in force", func() bool { return g.state.View().Settings.Version == 5 })

	b.store.Restore(store.Copy())
	waitForReader(other, g, b.gateway.node.ControlAddress)
	b.store.PutJSON(t, "keyed.op", "config", testSettings(11))
	other.wait("the reader's version is in force", func() bool { return g.state.View().Settings.Version == 11 })
}
