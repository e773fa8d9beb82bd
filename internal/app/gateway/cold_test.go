package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/quota"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
	"quetzalbend/platform/platformtest"
)

// mostInASecond returns the largest number of requests that reached a target within a
// second.
func mostInASecond(target *platformtest.Target) int { return mostOfASecond(target.Arrivals()) }

func mostOfASecond(arrivals []platformtest.Arrival) int {
	most, first := 0, 0
	for i := range arrivals {
		for arrivals[i].At.Sub(arrivals[first].At) >= time.Second {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// coldSettings are settings in which the targets of the service bear perSecond requests
// while they are cold.
func coldSettings(version int, perSecond float64) object {
	settings := testSettings(version)
	settings["services"] = []object{{"name": "app", "maxConnections": 100, "coldStartS": 60, "coldPerS": perSecond}}
	return settings
}

// coldLoad sends requests to all gateways at a pace, for a time. It returns how many were
// served, and how many were refused without a time to come back.
func coldLoad(gateways []*testbed, pace, length time.Duration) (served, untimed int) {
	var ok, bare atomic.Int64
	var callers sync.WaitGroup
	for _, b := range gateways {
		callers.Go(func() {
			ticker := time.NewTicker(pace)
			defer ticker.Stop()
			for started := time.Now(); time.Since(started) < length; <-ticker.C {
				answer := b.get("/read/")
				wait, err := strconv.ParseFloat(answer.header.Get("Retry-After"), 64)
				switch {
				case answer.status == http.StatusOK:
					ok.Add(1)
				case err != nil || wait <= 0:
					bare.Add(1)
					b.t.Logf("no time to come back: status %d, %q, %v", answer.status, answer.body, answer.err)
				}
			}
		})
	}
	callers.Wait()
	return int(ok.Load()), int(bare.Load())
}

// startColdGateways starts gateways before the targets, of which each bears perSecond
// requests while it is cold.
func startColdGateways(t *testing.T, count int, perSecond float64, remainingMs int, targets ...*platformtest.Target) []*testbed {
	first := newTestbed(t)
	first.store.PutJSON(t, "keyed.op", "config", coldSettings(2, perSecond))
	for _, target := range targets {
		first.store.PutJSON(t, "keyed.servers", target.ID, targetRecord(target, object{"coldRemainingMs": remainingMs}))
	}
	beds := startGateways(first, count)
	for _, b := range beds {
		b.wait("the targets are known", func() bool {
			view := b.gateway.state.View()
			return view.Settings.Version == 2 && len(view.Targets["app"]) == len(targets)
		})
	}
	return beds
}

// Nine gateways, and a bound of 1 x 1.5 + 5: less than one request for each. The target is
// cold, or has become cold and nobody knows it yet.
func TestColdTargetGetsNoMoreThanItsBoundFromManyGateways(t *testing.T) {
	const perSecond, allowed = 1, 6
	for name, remainingMs := range map[string]int{"announced": 60000, "unannounced": 0} {
		t.Run(name, func(t *testing.T) {
			target := platformtest.NewTarget(t, "i-1")
			beds := startColdGateways(t, 9, perSecond, remainingMs, target)
			served, untimed := coldLoad(beds, 50*time.Millisecond, 5*time.Second)
			most := mostInASecond(target)
			assert.Assert(t, most <= allowed, "%d requests in a second, allowed %d", most, allowed)
			assert.Assert(t, served > 0)
			assert.Equal(t, untimed, 0, "refused without a time to come back")
		})
	}
}

// The target takes two requests in a second while it is cold: a share for two of nine
// gateways, which lend them to the others.
func TestGatewayWithoutAShareServesItsCallers(t *testing.T) {
	target := platformtest.NewTarget(t, "i-1")
	beds := startColdGateways(t, 9, 2, 60000, target)
	beds[0].wait("all have their shares", func() bool {
		return !slices.ContainsFunc(beds, func(b *testbed) bool { return b.gateway.peers.startWait(time.Now()) > 0 })
	})
	for _, b := range beds {
		b.wait("its caller is served", func() bool { return b.get("/read/").status == http.StatusOK })
	}
	most := mostInASecond(target)
	assert.Assert(t, most <= 8, "%d requests in a second", most)
}

// A gateway that restarts under its name does not know what was sent before. All but 5 of
// the 6 requests that the target bears are divided.
func TestRestartedGatewayDoesNotUseItsShareTwice(t *testing.T) {
	target := platformtest.NewTarget(t, "i-1")
	beds := startColdGateways(t, 1, 1, 0, target)
	b := beds[0]
	b.wait("a caller is served", func() bool { return b.get("/read/").status == http.StatusOK })
	sent := arrived(target)
	b.stop()
	started := time.Now()
	g, _, _ := startGateway(t, b.gateway.node.Name, b.store.Address(), nil)
	again := &testbed{t: t, store: b.store, gateway: g}
	again.waitReady()
	again.wait("a caller is served again", func() bool { return again.get("/read/").status == http.StatusOK })
	coldLoad([]*testbed{again}, 10*time.Millisecond, time.Second)
	early := 0
	for _, arrival := range target.Arrivals()[sent:] {
		if arrival.At.Sub(started) < quota.AdmissionWindow {
			early++
		}
	}
	assert.Assert(t, early <= 1, "%d requests at once", early)
}

// Each process ends soon after it has used what is left to gateways that start.
func TestGatewayThatRestartsOverAndOverKeepsToTheBound(t *testing.T) {
	const perSecond, allowed = 1, 6
	target := platformtest.NewTarget(t, "i-1")
	beds := startColdGateways(t, 1, perSecond, 0, target)
	b := beds[0]
	for range 8 {
		coldLoad([]*testbed{b}, 5*time.Millisecond, 100*time.Millisecond)
		b.stop()
		b = b.addGateway(b.gateway.node.Name)
	}
	most := mostInASecond(target)
	assert.Assert(t, most <= allowed, "%d requests in a second, allowed %d", most, allowed)
}

// Gateways that start while the store is away learn from peers among how many the limits
// are divided.
func TestGatewayLearnsOfTheOthersFromAPeer(t *testing.T) {
	beds := startColdGateways(t, 3, 1, 0, platformtest.NewTarget(t, "i-1"))
	down := platformtest.NewStore(t)
	down.SetDown(true)
	g, _, _ := startGateway(t, "gateway-9", down.Address(), []string{beds[0].gateway.node.ControlAddress})
	other := &testbed{t: t, store: down, gateway: g}
	other.waitReady()
	other.wait("the gateways are listed", g.peers.membersKnown)
	assert.Assert(t, g.peers.gateways() >= len(beds)+gatewayHeadroom, "%d gateways", g.peers.gateways())
}

// The peer has just started without a store: it has heard one gateway, and not read the list.
func TestGatewayTakesNoIncompleteListOfTheOthersFromAPeer(t *testing.T) {
	peer := New(fleet.Node{Name: "gateway-2"}, eventlog.New(io.Discard))
	peer.peers.recordNode(&wire.NodeLoad{Node: "gateway-3", ControlAddress: localAddress(1)}, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}, time.Now())
	server := httptest.NewServer(peer.controlHandler())
	defer server.Close()
	g := New(fleet.Node{Name: "gateway-1"}, eventlog.New(io.Discard))
	_, err := g.peers.fetch(t.Context(), server.Listener.Addr().String(), platform.Position{}, platform.Position{})
	assert.NilError(t, err)
	assert.Equal(t, g.peers.gateways(), 0, "gateways among which it divides limits")
}

// The gateways of its failure domain, and most others, have started while the store is away.
func TestGatewaySoonLearnsOfTheOthersFromTheOneThatKnowsThem(t *testing.T) {
	const starting, soon = 33, 2 * time.Second
	knows := startColdGateways(t, 1, 1, 0, platformtest.NewTarget(t, "i-1"))[0]
	down := platformtest.NewStore(t)
	down.SetDown(true)
	g, _, _ := startPrepared(t, "gateway-9", down.Address(), nil, func(g *Gateway) { g.node.Domain = "d2" })
	b := &testbed{t: t, store: down, gateway: g}
	b.wait("it listens", func() bool { return b.health() > 0 })
	now := time.Now()
	for i := range starting {
		g.peers.recordNode(&wire.NodeLoad{Node: fmt.Sprint("starting-", i), ControlAddress: "127.0.0.1:1"}, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}, now)
	}
	own := &net.UDPAddr{IP: net.ParseIP(g.node.IP), Port: g.node.Ports[0]}
	knows.gateway.peers.recordNode(&wire.NodeLoad{Node: g.node.Name, ControlAddress: g.node.ControlAddress}, own, now)
	b.wait("it knows all gateways", g.peers.membersKnown)
	assert.Assert(t, time.Since(now) <= soon, "after %s", time.Since(now))
}

// Records of gateways that are gone for good.
func TestRecordsOfGoneGatewaysAreDeletedAndNotCounted(t *testing.T) {
	store := platformtest.NewStore(t)
	store.PutJSON(t, "keyed.op", "config", testSettings(1))
	for i := range 20 {
		store.PutJSON(t, "keyed.nodes", fmt.Sprint("gone-", i), peerRecord{
			Control: "127.0.0.1:1", Loads: "127.0.0.1:1", Revision: time.Now().Add(-2 * memberLifetime).UnixNano(),
		})
	}
	g, _, _ := startGateway(t, "gateway-1", store.Address(), nil)
	b := &testbed{t: t, store: store, gateway: g}
	b.waitReady()
	b.wait("the gateways are listed", g.peers.membersKnown)
	assert.Equal(t, g.peers.gateways(), 1+gatewayHeadroom)
	b.wait("the records are deleted", func() bool {
		batch, err := g.store.Newest(t.Context(), platform.TopicNodes)
		return err == nil && len(batch.Records) == 1
	})
}

// A gateway that is cut off is no longer sent datagrams, but still has its share.
func TestSilentGatewayIsHandedOnToPeers(t *testing.T) {
	beds := startColdGateways(t, 2, 1, 0, platformtest.NewTarget(t, "i-1"))
	p := beds[0].gateway.peers
	p.mu.Lock()
	clear(p.nodes)
	p.mu.Unlock()
	records, err := p.records()
	assert.NilError(t, err)
	assert.Equal(t, len(records), 2)
	for _, record := range records {
		_, err := decodePeerRecord(record.Value, time.Now())
		assert.NilError(t, err, record.Key)
	}
}
