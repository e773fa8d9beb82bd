package gateway

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/adapter/poisonwire"
	"quetzalbend/internal/core/poison"
	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
	"quetzalbend/platform/platformtest"
)

// startWhileStoreIsDown starts a gateway that cannot read the store, and lets its first
// reads fail.
func startWhileStoreIsDown(t *testing.T, store *platformtest.Store) *Gateway {
	t.Helper()
	store.SetDown(true)
	g, _, _ := startGateway(t, "gateway-1", store.Address(), nil)
	b := &testbed{t: t, store: store, gateway: g}
	b.wait("the first read of the parts has failed", func() bool { return store.Rejected(platform.TopicParts) > 0 })
	return g
}

// makeSuspect records crashes at two times, as if requests with a part had caused them.
func makeSuspect(g *Gateway, part string) {
	for i := range 2 {
		target := registry.Usable{}
		target.ID, target.Born = "i-crashed", int64(i)
		at := time.Now().Add(time.Duration(i)*2*time.Second - 10*time.Second)
		g.poison.record(poison.Finding{Losses: []poison.Loss{{Parts: []string{part}}}, At: at}, target, time.Now())
	}
}

func storedVerdict(t *testing.T, store *platform.Store, part string) poison.Verdict {
	t.Helper()
	batch, err := store.Newest(t.Context(), platform.TopicParts)
	assert.NilError(t, err)
	table, now := poison.NewTable(), time.Now()
	for _, record := range batch.Records {
		stored := &wire.StoredPart{}
		assert.NilError(t, proto.Unmarshal(record.Value, stored))
		table.Merge(poisonwire.Decode([]*wire.PartCrashes{stored.GetEvidence()}, now), now)
	}
	return table.Verdict(part, now)
}

// A gateway that was started while the store was down ended with a panic when it wrote a
// part before it had read the parts once.
func TestPartIsWrittenByAGatewayThatHasNotReadTheStoreYet(t *testing.T) {
	store := platformtest.NewStore(t)
	g := startWhileStoreIsDown(t, store)
	store.SetDown(false)
	makeSuspect(g, "p")
	b := &testbed{t: t, store: store, gateway: g}
	b.wait("the part is written", func() bool { return storedVerdict(t, g.store, "p") == poison.Suspect })
}

// What a gateway knows that has not read the store yet may be less than what the store holds.
func TestGatewayThatHasNotReadTheStoreDoesNotReplaceMoreEvidenceByLess(t *testing.T) {
	store := platformtest.NewStore(t)
	refused, now := poison.NewTable(), time.Now()
	for target := range uint64(2) {
		refused.RecordCrash([]poison.Loss{{Parts: []string{"p"}, Blamed: []string{"p"}}}, target, now)
	}
	value, err := proto.Marshal(&wire.StoredPart{Evidence: poisonwire.Encode(refused.NotAllowed(now), now)[0], WrittenUnixMs: now.UnixMilli()})
	assert.NilError(t, err)
	store.Put(platform.TopicParts, "p", value)
	g := startWhileStoreIsDown(t, store)
	store.SetDown(false)
	makeSuspect(g, "p")
	b := &testbed{t: t, store: store, gateway: g}
	b.wait("the part is refused", func() bool { return g.poison.table.Verdict("p", time.Now()) == poison.Refused })
	assert.Equal(t, storedVerdict(t, g.store, "p"), poison.Refused)
}

// Settings may drop a service whose requests wait for an admission. The refusal of such a
// request read the service, and its handler panicked.
func TestRequestToAServiceThatIsGoneIsRefused(t *testing.T) {
	b := newTestbed(t, platformtest.NewTarget(t, "i-1"))
	settings := testSettings(2)
	settings["services"] = []object{}
	b.store.PutJSON(t, "keyed.op", "config", settings)
	b.wait("the service is gone", func() bool { return b.gateway.state.View().Settings.Services["app"] == nil })
	x := &exchange{gateway: b.gateway, service: "app"}
	assert.Equal(t, x.admissionWait(), shortRetryAfter)
}
