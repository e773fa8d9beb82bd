package maplead

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/fleet"
)

// What a leader knew of its orders is gone after a panic, so it must not lead again under
// the token that orders on their way carry.
func TestLeaderThatPanicsLeadsAgainOnlyUnderAHigherToken(t *testing.T) {
	g := newFakeGroup(testRanks)
	go g.run(t.Context())
	var fails atomic.Bool
	leader, election := startPreparedLeader(t, g, testRanks, func(l *Leader) {
		targets := l.Targets
		l.Targets = func() map[*fleet.Service][]fleet.Target {
			if fails.CompareAndSwap(true, false) {
				panic("in the leader")
			}
			return targets()
		}
	})
	wait(t, "it leads", func() bool { return leader.leaderToken() != 0 })
	first := leader.leaderToken()
	fails.Store(true)
	wait(t, "it does not lead under its old token", func() bool { return leader.leaderToken() == 0 })
	election.set(0, first+1)
	wait(t, "it leads under a higher token", func() bool { return leader.leaderToken() > first })
	wait(t, "the hot expert has copies", func() bool { return copiesOf(g, 0) >= 3 })
	assert.Assert(t, !g.mixedMaps())
}
