package maplead

import (
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/platform"
)

// After the store had come back from a copy, the group's generations were below the tokens
// that ranks had seen: no leader's orders were taken and maps stayed as they were.
func TestLeaderLeadsOnWhenGenerationsGoBack(t *testing.T) {
	g := newFakeGroup(testRanks)
	go g.run(t.Context())
	leader, election := startLeader(t, g, testRanks)
	election.set(1, 9)
	wait(t, "generation 9 leads", func() bool { return leader.leaderToken() == fencingToken(platform.Membership{Era: 1, Generation: 9}) })
	wait(t, "the hot expert has copies", func() bool { return copiesOf(g, 0) >= 3 })
	election.set(2, 5)
	want := fencingToken(platform.Membership{Era: 2, Generation: 5})
	wait(t, "the new era's token is in use", func() bool { return leader.leaderToken() == want })
	g.setHot(7)
	wait(t, "the next hot expert has copies", func() bool { return copiesOf(g, 7) >= 3 })
	assert.Assert(t, !g.mixedMaps())
}

// Two leaders had the same token: one that led before the store came back from a copy, and
// one to which the same generation was assigned again.
func TestTokensAreUniqueAndRiseWithTheEra(t *testing.T) {
	previous := int64(0)
	for era := range int64(5) {
		for _, generation := range []int64{1, 7, generationsPerEra - 1} {
			token := fencingToken(platform.Membership{Era: era, Generation: generation})
			assert.Assert(t, token > previous, "era %d, generation %d", era, generation)
			previous = token
		}
	}
}
