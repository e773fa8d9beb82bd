package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/limits"
	"quetzalbend/internal/settingssync"
)

func TestRoundAndLimiterTimesGrowWithNumberOfPeers(t *testing.T) {
	assert.Equal(t, roundTime(7), time.Second)
	assert.Equal(t, limitsConfig("e", 7).StaleAfter, limits.DefaultStaleAfter)
	assert.Equal(t, roundTime(400), 50*time.Second)
	assert.Equal(t, limitsConfig("e", 400).Guard, 50*limits.DefaultGuard)
}

// TestEntriesShareALimit checks that two entries together admit no more than the
// limit allows.
func TestEntriesShareALimit(t *testing.T) {
	s := newTestSystem(t)
	s.putDefaults()
	one, _, _ := s.start("e1", nil)
	waitReady(t, one)
	two, _, _ := s.start("e2", func(c *Config) {
		c.Peers = []settingssync.Peer{{Name: "e1", Addr: one.PeersAddr(), FailureDomain: "d"}}
	})
	waitReady(t, two)
	// e1 does not list e2 as a peer, so tell its limiter that there are two
	// entries. Without e2's demands it then keeps to its share of the limit.
	one.limits.SetPeers(time.Now(), []string{"e2"})
	subject := limits.Subject{Name: "t", Limits: limits.Amounts{limits.Concurrent: 40}}
	admitted := func(e *Entry) int {
		count := 0
		for {
			if _, refusal := e.limits.Admit(time.Now(), subject, limits.Subject{}, limits.Subject{}); refusal != nil {
				return count
			}
			count++
		}
	}
	sum := admitted(one) + admitted(two)
	assert.Assert(t, sum > 0 && sum <= 40, "%d requests at once", sum)
}
