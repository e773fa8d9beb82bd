package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
