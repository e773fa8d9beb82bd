package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/platform/platformtest"
)

// A target that said in its answers that it leaves got requests until the store said so.
func TestTargetThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	for _, test := range []struct {
		name, path string
		behavior   platformtest.Behavior
	}{
		{"answer", "/read/", platformtest.Serve},
		{"stream", "/stream/", platformtest.Serve},
		{"rejection", "/once-twice/", platformtest.Reject},
		{"error", "/read/", platformtest.Fail},
		{"answer to another request", "/read/", platformtest.WrongRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			leaving, staying := platformtest.NewTarget(t, "i-1"), platformtest.NewTarget(t, "i-2")
			b := newTestbed(t, leaving)
			leaving.SetLeaving(true)
			leaving.QueueBehaviors(test.behavior)
			b.post(test.path, "prompt")
			assert.Equal(t, arrived(leaving), 1)
			b.store.PutJSON(t, "keyed.servers", "i-1", targetRecord(leaving, object{"sequence": 2}))
			b.store.PutJSON(t, "keyed.servers", "i-2", targetRecord(staying, nil))
			b.wait("the other target is known", func() bool { return len(b.gateway.state.View().All) == 2 })
			for range 8 {
				assert.Equal(t, b.post(test.path, "prompt").status, http.StatusOK)
			}
			assert.Equal(t, arrived(leaving), 1)

			leaving.SetLeaving(false)
			b.store.PutJSON(t, "keyed.servers", "i-1", targetRecord(leaving, object{"born": 2}))
			b.wait("its next incarnation is used", func() bool {
				b.post(test.path, "prompt")
				return arrived(leaving) > 1
			})
		})
	}
}

// A target with another id at the same address that leaves made a gateway give up the one
// that it expected.
func TestAnswerOfAnotherTargetSaysNothingOfTheExpectedOne(t *testing.T) {
	one := platformtest.NewTarget(t, "i-1", platformtest.WrongTarget)
	b := newTestbed(t, one)
	one.SetLeaving(true)
	b.get("/read/")
	one.SetLeaving(false)
	b.wait("the target is used again", func() bool { return b.get("/read/").status == http.StatusOK })
}
