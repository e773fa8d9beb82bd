package settingssync

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/app/standin/platform"
)

// Nodes kept reading past the end of a log that had come back from a copy: accepted
// settings were gone for nodes that started later, and no write was accepted any more.
func TestAcceptedWritesStayInForceWhenTheLogCameBackWithoutThem(t *testing.T) {
	for lost := 1; lost <= 4; lost++ {
		t.Run(fmt.Sprint(lost, " records lost"), func(t *testing.T) {
			b := newTestbed(t)
			one, _ := b.startReady(b.config("entry-1"))
			two, _ := b.startReady(b.config("entry-2"))
			for i := range 4 {
				result := b.put(one, setRequest("/teams/a/limit", fmt.Sprint(i)))
				assert.Equal(t, result.Status, Accepted)
			}
			assert.Equal(t, b.put(two, setRequest("/teams/b/limit", "7")).Status, Accepted)
			eventually(t, "both have all", func() bool {
				return hasValue(one, "/teams/b/limit", "7")() && hasValue(two, "/teams/a/limit", "3")()
			})
			b.platform.SetFaults(platform.Faults{LoseNewest: pointerTo(lost)})
			eventually(t, "a write is accepted again", func() bool {
				return b.put(two, setRequest("/teams/c/limit", "1")).Status == Accepted
			})
			three, _ := b.startReady(b.config("entry-3"))
			for _, node := range []*Node{one, two, three} {
				eventually(t, "all is in force", func() bool {
					return hasValue(node, "/teams/a/limit", "3")() && hasValue(node, "/teams/b/limit", "7")() &&
						hasValue(node, "/teams/c/limit", "1")()
				})
			}
			assert.Equal(t, b.put(one, setRequest("/teams/a/limit", "9")).Status, Accepted)
		})
	}
}
