package settingssync

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/app/standin/platform"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/port"
	"quetzalbend/internal/wire"
)

// listen starts a link server on loopback and returns its address and a function
// that stops it. The end of the test stops it as well.
func listen(t *testing.T, handler link.Handler) (string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := link.NewServer(link.Config{}, handler)
	go func() { _ = server.Serve(listener) }()
	stop := func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
	}
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

// newPool returns a pool that is closed with the test.
func newPool(t *testing.T) *link.Pool {
	pool := link.NewPool(link.Config{})
	t.Cleanup(func() { _ = pool.Close() })
	return pool
}

// servePeer starts a server on which a node answers its peers, and returns the
// node as a peer.
func servePeer(t *testing.T, node *Node) Peer {
	t.Helper()
	addr, _ := listen(t, func(ctx context.Context, open *wire.Open, stream *link.Stream) {
		node.HandlePeer(ctx, open, stream)
	})
	return Peer{Name: node.cfg.Name, Addr: addr, FailureDomain: node.cfg.FailureDomain}
}

// withPeers adds peers and a dialer to the configuration of a node.
func withPeers(t *testing.T, cfg Config, peers ...Peer) Config {
	t.Helper()
	cfg.Peers = peers
	cfg.Dial = newPool(t)
	return cfg
}

func TestNodeWithoutPlatformFollowsPeers(t *testing.T) {
	b := newTestbed(t)
	connected, _ := b.startReady(b.config("e1"))
	cutOff, _ := b.startReady(withPeers(t, b.config("e2"), servePeer(t, connected)))
	b.platform.SetFaults(platform.Faults{Cut: pointerTo([]string{"e2"})})
	b.put(connected, setRequest("/a", `1`))
	eventually(t, "e2 follows e1", hasValue(cutOff, "/a", `1`))
	b.put(connected, WriteRequest{Path: "/a", Delete: true})
	eventually(t, "e2 follows the deletion", func() bool { return cutOff.Snapshot().Len() == 0 })
	assert.Equal(t, cutOff.store.copy().Hash(), connected.store.copy().Hash())
}

func TestFreshNodeWithoutPlatformLoadsFromPeerWithHighestOffset(t *testing.T) {
	b := newTestbed(t)
	first, _ := b.startReady(b.config("e1"))
	second, _ := b.startReady(b.config("e2"))
	b.put(first, setRequest("/a", `"old"`))
	eventually(t, "e2 follows", hasValue(second, "/a", `"old"`))
	b.platform.SetFaults(platform.Faults{Cut: pointerTo([]string{"e1"})})
	eventually(t, "e1 is cut off", func() bool { return !first.LogHealthy() })
	b.put(second, setRequest("/a", `"new"`))
	b.platform.SetFaults(platform.Faults{Down: pointerTo(true)})
	fresh, _ := b.start(withPeers(t, b.config("e3"), servePeer(t, first), servePeer(t, second)))
	<-fresh.Ready()
	assert.Assert(t, hasValue(fresh, "/a", `"new"`)())
	assert.Equal(t, fresh.Snapshot().Offset(), int64(1))
}

func TestFreshNodeIsNotReadyIfPlatformIsDownAndPeersHaveNoSettings(t *testing.T) {
	b := newTestbed(t)
	b.platform.SetFaults(platform.Faults{Down: pointerTo(true)})
	empty, _ := b.start(b.config("e1"))
	fresh, _ := b.start(withPeers(t, b.config("e2"), servePeer(t, empty)))
	eventually(t, "e2 has asked", func() bool { return fresh.counts.logErrors.Count() > 3 })
	select {
	case <-fresh.Ready():
		t.Fatal("ready without settings")
	default:
	}
	b.platform.SetFaults(platform.Faults{Down: pointerTo(false)})
	<-fresh.Ready()
}

func TestCheckpointIsWrittenAfterOutageLongerThanRetention(t *testing.T) {
	b := newTestbed(t)
	holder, _ := b.startReady(b.config("e1"))
	b.put(holder, setRequest("/b", `1`))
	b.platform.SetFaults(platform.Faults{Down: pointerTo(true)})
	eventually(t, "the outage is noticed", func() bool { return !holder.LogHealthy() })
	b.platform.Log().ExpireBefore(port.SettingsStream, 1)
	fresh, _ := b.start(withPeers(t, b.config("e2"), servePeer(t, holder)))
	<-fresh.Ready()
	assert.Assert(t, hasValue(fresh, "/b", `1`)())
	b.platform.SetFaults(platform.Faults{Down: pointerTo(false)})
	eventually(t, "a fresh node loads from the log alone", func() bool {
		loaded, err := loadFromLog(t.Context(), b.config("e3").Log)
		if err != nil {
			return false
		}
		_, ok := loaded.state.Snapshot().Get("/b")
		return ok
	})
}

func TestStatusTableShowsOffsetOfEachEntry(t *testing.T) {
	b := newTestbed(t)
	first, _ := b.startReady(b.config("e1"))
	silent := Peer{Name: "e9", Addr: "127.0.0.1:1"}
	second, _ := b.startReady(withPeers(t, b.config("e2"), servePeer(t, first), silent))
	result := b.put(first, setRequest("/a", `1`))
	eventually(t, "e2 knows that e1 is at the offset", func() bool {
		statuses := second.NodeStatuses()
		return len(statuses) == 3 && statuses[0].Offset == result.Offset && statuses[1].Offset == result.Offset
	})
	assert.Assert(t, second.NodeStatuses()[2].Silent)
}

func TestReadingStatusTableAsksPeersThatAreBehind(t *testing.T) {
	b := newTestbed(t)
	first, _ := b.startReady(b.config("e1"))
	cfg := withPeers(t, b.config("e2"), servePeer(t, first))
	cfg.PeerInterval = time.Hour
	second, _ := b.startReady(cfg)
	result := b.put(first, setRequest("/a", `1`))
	eventually(t, "e2 has asked e1", func() bool {
		statuses := second.NodeStatuses()
		return statuses[0].Offset == result.Offset && !statuses[0].Silent
	})
}

// subtrees returns a constant list of subtrees.
func subtrees(paths ...string) func() []string { return func() []string { return paths } }

// agentSettings are the settings that the agent of t1 needs, and others that it
// does not need.
var agentSettings = map[string]string{
	"/domains/d1": `{"state":"in"}`, "/domains/d2": `{"state":"in"}`,
	"/targets/t1": `{"agent":"ADDR","failure_domain":"d1","kind":"model","serves":["m"]}`,
	"/teams/x":    `{"share":1}`,
}

func TestAgentGetsOnlyItsSubtreesAndEveryChange(t *testing.T) {
	b := newTestbed(t)
	entry, _ := b.startReady(b.config("e1"))
	receiver := NewReceiver("t1", "t1-1")
	addr, _ := listen(t, receiver.Handle)
	agents := func(*settings.Snapshot) []Agent {
		return []Agent{{Name: "t1", Addr: addr, FailureDomain: "d1", Subtrees: subtrees("/domains/d1", "/targets/t1")}}
	}
	feeder := NewFeeder(entry, newPool(t), agents)
	go func() { _ = feeder.Run(t.Context()) }()
	for path, value := range agentSettings {
		b.put(entry, setRequest(path, value))
	}
	last := b.put(entry, setRequest("/domains/d1", `{"state":"out"}`))
	eventually(t, "the agent is at the last offset", func() bool {
		snapshot := receiver.Snapshot()
		return snapshot != nil && snapshot.Offset() == last.Offset
	})
	assert.Equal(t, receiver.Snapshot().Len(), 2)
	domain, _ := receiver.Snapshot().Get("/domains/d1")
	assert.Equal(t, string(domain.Value), `{"state":"out"}`)
	b.put(entry, WriteRequest{Path: "/domains/d1", Delete: true})
	eventually(t, "the deletion reaches the agent", func() bool { return receiver.Snapshot().Len() == 1 })
	eventually(t, "the entry has the acknowledgement", func() bool { return feeder.Agents()[0].Offset == last.Offset+1 })
}

func TestRestartedAgentIsFedAgain(t *testing.T) {
	b := newTestbed(t)
	entry, _ := b.startReady(b.config("e1"))
	b.put(entry, setRequest("/domains/d1", `1`))
	first := NewReceiver("t1", "t1-1")
	addr, stop := listen(t, first.Handle)
	feeder := NewFeeder(entry, newPool(t), func(*settings.Snapshot) []Agent {
		return []Agent{{Name: "t1", Addr: addr, Subtrees: subtrees("/domains")}}
	})
	go func() { _ = feeder.Run(t.Context()) }()
	<-first.Ready()
	stop()
	second := NewReceiver("t1", "t1-2")
	listener, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	server := link.NewServer(link.Config{}, second.Handle)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = listener.Close() }()
	<-second.Ready()
	assert.Equal(t, second.Snapshot().Len(), 1)
}

func TestAgentGetsNewSubtreeWithChangeThatNamesIt(t *testing.T) {
	b := newTestbed(t)
	entry, _ := b.startReady(b.config("e1"))
	b.put(entry, setRequest("/x", `1`))
	receiver := NewReceiver("t1", "t1-1")
	addr, _ := listen(t, receiver.Handle)
	feeder := NewFeeder(entry, newPool(t), func(snapshot *settings.Snapshot) []Agent {
		paths := []string{"/groups"}
		if entries := snapshot.List("/groups"); len(entries) > 0 {
			paths = append(paths, "/x")
			<-time.After(200 * time.Millisecond) // a feed that does not wait for reconcile would send the change without /x
		}
		return []Agent{{Name: "t1", Addr: addr, Subtrees: subtrees(paths...)}}
	})
	go func() { _ = feeder.Run(t.Context()) }()
	<-receiver.Ready()
	b.put(entry, setRequest("/groups/g", `1`))
	eventually(t, "the agent holds /x", func() bool { return receiver.Snapshot().Len() == 2 })
}

func TestUpdateFromSlowEntryDoesNotLowerOffset(t *testing.T) {
	r := NewReceiver("t1", "t1-1")
	full := func(to int64, value string) *wire.SettingsUpdate {
		return &wire.SettingsUpdate{
			FromOffset: settings.NoOffset, ToOffset: to, Complete: true, Subtrees: []string{"/a"},
			Entries: []*wire.SettingsEntry{{Path: "/a", Version: to, Value: []byte(value)}},
		}
	}
	assert.NilError(t, r.apply(full(7, "7")))
	assert.NilError(t, r.apply(full(5, "5")))
	assert.Equal(t, r.Snapshot().Offset(), int64(7))
	overlapping := &wire.SettingsUpdate{
		FromOffset: 5, ToOffset: 8,
		Entries: []*wire.SettingsEntry{{Path: "/a", Version: 7, Value: []byte("7")}, {Path: "/a/b", Version: 8, Value: []byte("8")}},
	}
	assert.NilError(t, r.apply(overlapping))
	assert.Equal(t, r.Snapshot().Len(), 2)
	gap := &wire.SettingsUpdate{FromOffset: 9, ToOffset: 10}
	assert.ErrorContains(t, r.apply(gap), "delta from offset 9 leaves a gap after offset 8")
}

func TestEachAgentIsFedByTwoEntriesOfItsFailureDomain(t *testing.T) {
	var peers []Peer
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		domain := "d1"
		if name > "d" {
			domain = "d2"
		}
		peers = append(peers, Peer{Name: name, FailureDomain: domain})
	}
	fed := map[string]int{}
	for i, own := range peers {
		others := append(append([]Peer(nil), peers[:i]...), peers[i+1:]...)
		node := NewNode(Config{Name: own.Name, FailureDomain: own.FailureDomain, Peers: others})
		feeder := NewFeeder(node, nil, nil)
		live := feeder.liveEntries(node.statusTable.started)
		for _, name := range []string{"t1", "t2", "t3"} {
			if feeder.responsible(Agent{Name: name, FailureDomain: "d1"}, live) {
				assert.Equal(t, own.FailureDomain, "d1")
				fed[name]++
			}
		}
	}
	assert.DeepEqual(t, fed, map[string]int{"t1": 2, "t2": 2, "t3": 2})
}

func TestAgentNeedsItsTargetDomainGroupAndServices(t *testing.T) {
	snapshot := settings.NewSnapshot(9, []settings.Entry{
		{Path: "/domains/d1", Value: []byte(`{"state":"in"}`)},
		{Path: "/groups/g", Value: []byte(`{"ranks":["t1","t2"],"layers":1,"experts":2,"slots_per_rank":2}`)},
		{Path: "/targets/t1", Value: []byte(`{"agent":"10.0.0.1:1","failure_domain":"d1","kind":"model","serves":["m"]}`)},
		{Path: "/targets/t2", Value: []byte(`{"agent":"10.0.0.2:1","failure_domain":"d1","kind":"model","serves":["m"]}`)},
		{Path: "/targets/t3", Value: []byte(`{"agent":"10.0.0.3:1","failure_domain":"d1","kind":"service","serves":["s"]}`)},
		{Path: "/teams/x", Value: []byte(`{"share":1}`)},
		{Path: "/teams/x/services/s", Value: []byte(`{"routes":[{"method":"GET","path_prefix":"/","idempotent":true}]}`)},
	})
	agents := AgentsOf(catalog.Build(snapshot))
	assert.Equal(t, len(agents), 3)
	assert.DeepEqual(t, agents[0].Subtrees(), []string{"/domains/d1", "/groups/g", "/targets/t1", "/targets/t2"})
	assert.DeepEqual(t, agents[2].Subtrees(), []string{"/domains/d1", "/targets/t3", "/teams/x/services/s"})
}
