package share

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func names(count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprint("gateway-", i)
	}
	return list
}

func TestPartsAddUpToTheLimitForAnyNumberOfMembers(t *testing.T) {
	for _, count := range []int{1, 2, 6, 9, 34, 37, 420} {
		for total := range 60 {
			sum := 0
			for rank := range count {
				sum += Of(total, count, rank)
			}
			assert.Equal(t, sum, total, "%d members", count)
		}
	}
}

// Each member that the others do not know takes its part beside theirs.
func TestLimitHoldsWithMembersThatTheOthersDoNotKnow(t *testing.T) {
	const headroom = 3
	for _, count := range []int{1, 2, 6, 9, 34, 37, 420} {
		for total := range 60 {
			for unknown := range min(headroom, total/headroomDivisor) + 1 {
				known, all := names(count), names(count+unknown)
				sum := 0
				for i, name := range all {
					view := all
					if i < count {
						view = known
					}
					members := NewMembers(name, view)
					sum += WithHeadroom(total, members.Count(), headroom, members.Rank(7))
				}
				assert.Assert(t, sum <= total, "%d members, %d unknown: %d for %d", count, unknown, sum, total)
			}
		}
	}
}

func TestSmallLimitIsDividedOtherwiseForEachTarget(t *testing.T) {
	const count, total, targets = 37, 3, 2000
	for _, name := range names(count) {
		members, parts := NewMembers(name, names(count)), 0
		for target := range uint64(targets) {
			parts += Of(total, count, members.Rank(target))
		}
		even := targets * total / count
		assert.Assert(t, parts > even*2/3 && parts < even*4/3, "%s has %d of about %d", name, parts, even)
	}
}

func TestUnknownMembersHaveNoPart(t *testing.T) {
	var members *Members
	assert.Equal(t, Of(10, members.Count(), 0), 0)
}

func TestNamesByRankAgreesWithRank(t *testing.T) {
	for key := range uint64(20) {
		for rank, name := range NamesByRank(key, names(9)) {
			assert.Equal(t, NewMembers(name, names(9)).Rank(key), rank)
		}
	}
}
