package limits

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/schema"
)

// askHeld has entry i ask the others which of its permits they hold.
func (c *cluster) askHeld(i int) {
	for j, peer := range c.limiters {
		if i != j && !c.blocked(i, j) && !c.blocked(j, i) {
			c.limiters[i].ReceiveHeld(c.now, c.now, fmt.Sprint(j), peer.BorrowedFrom(fmt.Sprint(i)))
		}
	}
}

// round has all entries report, and ask which of their permits the others hold.
func (c *cluster) round() {
	c.now = c.now.Add(interval)
	for i := range c.limiters {
		c.report(i)
		c.askHeld(i)
	}
}

// newRoundCluster returns a cluster whose entries have heard from each other.
func newRoundCluster(entries, limit int) *cluster {
	c := newCluster(entries, schema.Limits{Concurrent: limit})
	for range 5 {
		c.round()
	}
	return c
}

// admit offers a request to entry i, which asks others for a permit if it needs one.
func (c *cluster) admit(i int) (*Grant, *Refusal) {
	l := c.limiters[i]
	grant, refusal := l.Admit(c.now, c.account, Subject{}, Subject{})
	if refusal == nil {
		return grant, nil
	}
	for _, name := range l.Lenders(c.now, refusal) {
		loan := l.Borrow(name, refusal.Subject)
		if c.lend(i, loan) {
			return l.Admit(c.now, c.account, Subject{}, Subject{}, loan)
		}
		l.Drop(loan)
	}
	l.NoneLent(c.now, refusal.Subject)
	return nil, refusal
}

// lend asks the lender of a permit to lend it to entry i. The answer may be lost.
func (c *cluster) lend(i int, loan Loan) bool {
	lender, _ := strconv.Atoi(loan.Lender)
	if c.blocked(i, lender) {
		return false
	}
	return c.limiters[lender].Lend(c.now, fmt.Sprint(i), loan.ID, c.account) && !c.blocked(lender, i)
}

// end ends a request at entry i.
func (c *cluster) end(i int, grant *Grant) {
	grant.Release(c.now, 0)
	for _, loan := range grant.Loans() {
		if lender, _ := strconv.Atoi(loan.Lender); !c.blocked(i, lender) {
			c.limiters[lender].TakeBack(fmt.Sprint(i), loan.ID)
		}
	}
}

// cut cuts entry i off from all others.
func (c *cluster) cut(i int) {
	c.blocked = func(from, to int) bool { return from == i || to == i }
}

func (c *cluster) heal() { c.blocked = func(int, int) bool { return false } }

// holder returns the entry that has the only permit of the account.
func (c *cluster) holder() int {
	for i, l := range c.limiters {
		if grant, _ := l.Admit(c.now, c.account, Subject{}, Subject{}); grant != nil {
			grant.Release(c.now, 0)
			return i
		}
	}
	return -1
}

// lent returns a cluster of three in which entry borrower runs the only request of an
// account by the permit of entry lender.
func lent(t *testing.T) (c *cluster, lender, borrower int, grant *Grant) {
	c = newRoundCluster(3, 1)
	lender = c.holder()
	borrower = (lender + 1) % 3
	grant, refusal := c.admit(borrower)
	assert.Assert(t, refusal == nil)
	return c, lender, borrower, grant
}

func (c *cluster) assertFree(t *testing.T, free bool) {
	t.Helper()
	c.now = c.now.Add(lendersPause)
	for i := range c.limiters {
		if c.blocked(i, (i+1)%3) && c.blocked(i, (i+2)%3) {
			continue
		}
		grant, refusal := c.admit(i)
		assert.Equal(t, refusal == nil, free, "entry %d", i)
		if grant != nil {
			c.end(i, grant)
		}
	}
}

func TestRequestIsServedAtAnyEntryWhileFewerThanTheLimitRun(t *testing.T) {
	const entries = 8
	for limit := 1; limit < lendingFactor*entries; limit++ {
		for first := range entries {
			c := newRoundCluster(entries, limit)
			grants := make([][]*Grant, entries)
			for n := range limit {
				at := (first + n*n) % entries
				grant, refusal := c.admit(at)
				assert.Assert(t, refusal == nil, "limit %d, request %d, entry %d", limit, n, at)
				grants[at] = append(grants[at], grant)
			}
			_, refusal := c.admit(first)
			assert.Equal(t, refusal.Code, CodeConcurrency)
			assert.Assert(t, refusal.RetryAfter > 0)

			c.end(first, grants[first][0])
			c.now = c.now.Add(lendersPause)
			_, refusal = c.admit((first + 3) % entries)
			assert.Assert(t, refusal == nil, "limit %d", limit)
		}
	}
}

// An entry with a large demand leaves one request to each of the others.
func TestLargeConcurrencyLimitHoldsInWholeRequests(t *testing.T) {
	const entries = 8
	for limit := lendingFactor * entries; limit < lendingFactor*entries+entries; limit++ {
		c := newRoundCluster(entries, limit)
		running := 0
		for range 10 {
			for refused := false; !refused; {
				_, refusal := c.admit(0)
				refused = refusal != nil
				if !refused {
					running++
				}
			}
			c.round()
		}
		assert.Assert(t, running > limit/2, "%d of %d at one entry", running, limit)
		for i := 1; i < entries; i++ {
			_, refusal := c.admit(i)
			assert.Assert(t, refusal == nil, "limit %d, entry %d", limit, i)
			running++
		}
		assert.Assert(t, running <= limit, "%d requests run where %d may", running, limit)
	}
}

// Requests that one entry has admitted go on while the demand moves to another.
func TestLargeConcurrencyLimitHoldsWhenDemandMoves(t *testing.T) {
	const entries, limit = 8, 40
	c := newRoundCluster(entries, limit)
	first, second := c.fill(0), c.fill(1)
	assert.Assert(t, len(first) > limit/2, "%d", len(first))
	count := len(first) + len(second)
	for i := 2; i < entries; i++ {
		_, refusal := c.admit(i)
		assert.Assert(t, refusal == nil, "entry %d refuses its only request", i)
		count++
	}
	assert.Assert(t, count <= limit, "%d and %d requests run where %d may", len(first), len(second), limit)
	for _, grant := range first {
		c.end(0, grant)
	}
	second = append(second, c.fill(1)...)
	assert.Assert(t, len(second) > limit/2, "%d", len(second))
}

// fill offers as many requests to entry i as it admits, for some rounds.
func (c *cluster) fill(i int) []*Grant {
	var grants []*Grant
	for range 12 {
		for grant, refusal := c.admit(i); refusal == nil; grant, refusal = c.admit(i) {
			grants = append(grants, grant)
		}
		c.round()
	}
	return grants
}

func TestTwoBorrowersDoNotGetTheSamePermit(t *testing.T) {
	c, lender, borrower, grant := lent(t)
	_, refusal := c.admit((borrower + 1) % 3)
	assert.Assert(t, refusal != nil)
	c.assertFree(t, false)
	c.end(borrower, grant)
	assert.Equal(t, c.holder(), lender)
	c.assertFree(t, true)
}

func TestPermitOfABorrowerThatRestartsIsTakenBack(t *testing.T) {
	c, _, borrower, _ := lent(t)
	c.round()
	c.assertFree(t, false)
	c.start(borrower)
	for range 5 {
		c.round()
	}
	c.assertFree(t, true)
}

func TestPermitOfABorrowerThatDiesIsTakenBackAfterTheLongestRequest(t *testing.T) {
	c, _, borrower, _ := lent(t)
	c.cut(borrower)
	start := c.now
	for c.now.Sub(start) < MaxRequestTime {
		c.round()
		c.assertFree(t, false)
	}
	for c.now.Sub(start) <= loanTime {
		c.round()
	}
	c.round()
	c.assertFree(t, true)
}

func TestPermitOfABorrowerThatIsCutOffIsNotTakenBackWhileItsRequestRuns(t *testing.T) {
	c, _, borrower, grant := lent(t)
	c.cut(borrower)
	for range 60 {
		c.round()
		c.assertFree(t, false)
	}
	c.heal()
	for range 5 {
		c.round()
		c.assertFree(t, false)
	}
	c.cut(borrower)
	c.end(borrower, grant) // the permit is lost on its way back
	c.round()
	c.assertFree(t, false)
	c.heal()
	for range 5 {
		c.round()
	}
	c.assertFree(t, true)
}

func TestRestartedLenderCountsThePermitsThatItHasLent(t *testing.T) {
	c, lender, borrower, grant := lent(t)
	c.start(lender)
	c.report(lender)
	c.assertFree(t, false)
	for range 30 {
		c.round()
		c.assertFree(t, false)
	}
	c.end(borrower, grant)
	c.assertFree(t, true)
}

// A peer that can't be asked holds the parts back only as long as an absent one.
func TestRestartedLenderHasItsPartBackAlthoughAPeerIsAway(t *testing.T) {
	c := newRoundCluster(3, 1)
	lender := c.holder()
	c.cut((lender + 1) % 3)
	c.start(lender)
	start := c.now
	for c.now.Add(lendersPause+interval).Sub(start) <= HeldWait {
		c.round()
		c.assertFree(t, false)
	}
	for c.now.Sub(start) <= HeldWait {
		c.round()
	}
	c.round()
	c.assertFree(t, true)
}

// The answer that grants a permit is lost, or the question arrives late.
func TestPermitThatIsLentButNotUsedIsTakenBack(t *testing.T) {
	c := newRoundCluster(3, 1)
	lender := c.holder()
	borrower := (lender + 1) % 3
	c.blocked = func(from, to int) bool { return from == lender && to == borrower }
	_, refusal := c.admit(borrower)
	assert.Assert(t, refusal != nil)
	c.heal()
	c.round()
	c.assertFree(t, true)
}

func TestPermitThatIsBeingLentIsNotTakenBack(t *testing.T) {
	c := newRoundCluster(3, 1)
	lender := c.holder()
	borrower := (lender + 1) % 3
	loan := c.limiters[borrower].Borrow(fmt.Sprint(lender), c.account.Name)
	assert.Assert(t, c.lend(borrower, loan))
	c.now = c.now.Add(time.Millisecond)
	c.askHeld(lender)
	_, refusal := c.admit((borrower + 1) % 3)
	assert.Assert(t, refusal != nil)
	_, refusal = c.limiters[borrower].Admit(c.now, c.account, Subject{}, Subject{}, loan)
	assert.Assert(t, refusal == nil)
}

// The answer to the question which permits are held was on its way meanwhile.
func TestPermitThatIsLentAfterTheQuestionIsNotTakenBack(t *testing.T) {
	c := newRoundCluster(3, 1)
	lender := c.holder()
	borrower := (lender + 1) % 3
	askedAt := c.now
	held := c.limiters[borrower].BorrowedFrom(fmt.Sprint(lender))
	_, refusal := c.admit(borrower)
	assert.Assert(t, refusal == nil)
	c.limiters[lender].ReceiveHeld(c.now.Add(time.Second), askedAt, fmt.Sprint(borrower), held)
	c.assertFree(t, false)
}

func TestLentPermitCountsAfterAnIdleTime(t *testing.T) {
	c, _, borrower, _ := lent(t)
	c.cut(borrower)
	for start := c.now; c.now.Sub(start) <= 2*idleTimeout; {
		c.round()
	}
	c.assertFree(t, false)
}

func TestCancelledRequestHoldsNoPermit(t *testing.T) {
	c, lender, borrower, grant := lent(t)
	grant.Cancel()
	assert.Equal(t, len(c.limiters[borrower].BorrowedFrom(fmt.Sprint(lender))), 0)
	c.round()
	c.assertFree(t, true)
}

func TestPeersAreNotAskedAgainAtOnceAfterNoneHasLent(t *testing.T) {
	c, lender, borrower, _ := lent(t)
	third := 3 - lender - borrower
	_, refusal := c.admit(third)
	assert.Equal(t, len(c.limiters[third].Lenders(c.now, refusal)), 0)
	c.now = c.now.Add(lendersPause)
	assert.Assert(t, len(c.limiters[third].Lenders(c.now, refusal)) > 0)
}

func TestRefusalByTheTeamLeavesThePermitOfTheAccountUnused(t *testing.T) {
	c, lender, borrower, grant := lent(t)
	l := c.limiters[borrower]
	team := TeamSubject("team", schema.Limits{Concurrent: 1})
	_, _ = l.Admit(c.now, Subject{}, team, Subject{}) // takes the team's permit, if it is here
	loan := l.Borrow(fmt.Sprint(lender), c.account.Name)
	_, refusal := l.Admit(c.now, c.account, team, Subject{}, loan)
	assert.Equal(t, refusal.Subject, "team")
	l.Drop(loan)
	assert.DeepEqual(t, l.BorrowedFrom(fmt.Sprint(lender)), grant.Loans())
	l.withSubject(c.account.Name, func(s *subject) {
		assert.Equal(t, s.running, 1)
		assert.Equal(t, s.borrowed, 1)
	})
}
