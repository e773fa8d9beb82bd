package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAdmissionsStayWithinTheLimitInAnySecond(t *testing.T) {
	now := time.Unix(1000, 0)
	var a Admissions
	var sent []time.Time
	for range 3000 {
		now = now.Add(7 * time.Millisecond)
		if a.CanSend(4, now) {
			a.RecordSent(now)
			sent = append(sent, now)
		}
	}
	for i := range sent[:len(sent)-4] {
		assert.Assert(t, sent[i+4].Sub(sent[i]) > time.Second, "five requests within a second")
	}
	assert.Assert(t, len(sent) > 60)
}

// Callers send 80 requests per second to a group of 16 cold targets, through six
// gateways. The limits are for nine gateways, of which three (spare) may just have
// been added. A gateway that is alone in its failure domain gets a third of the
// requests and must be able to admit them. The six and the nine gateways together
// must stay within the targets' limits.
func TestColdTargetsCanServeOrdinaryDemand(t *testing.T) {
	const rate, factor, slack, gateways, spare = 26, 1.5, 5, 6, 3
	limit := AdmissionLimit(rate, factor, slack, gateways+spare, true)
	assert.Assert(t, limit*16 >= 80/3+10, "%d requests per second at each of 16 targets", limit)
	assert.Assert(t, limit*gateways <= rate, "six gateways may send %d requests per second", limit*gateways)
	assert.Assert(t, limit*(gateways+spare) <= rate*factor+slack, "nine gateways may send %d requests per second", limit*(gateways+spare))
}

func TestRetriesOfAllGatewaysStayWithinTheBudget(t *testing.T) {
	const ratio, slack, gateways = 0.2, 88.0, 9
	window := 10 * time.Second
	now := time.Unix(1000, 0)
	var budgets []*RetryBudget
	for range gateways {
		budgets = append(budgets, NewRetryBudget(ratio, slack, window, gateways))
	}
	var requests, retries []time.Time
	for i := range 20000 {
		now = now.Add(2 * time.Millisecond)
		budget := budgets[i%gateways]
		budget.RecordRequest(now)
		requests = append(requests, now)
		for budget.Allow(now) {
			retries = append(retries, now)
		}
	}
	within := func(times []time.Time, end time.Time) int {
		count := 0
		for _, at := range times {
			if at.After(end.Add(-window)) && !at.After(end) {
				count++
			}
		}
		return count
	}
	for end := time.Unix(1001, 0); end.Before(now); end = end.Add(time.Second) {
		allowed := ratio*float64(within(requests, end)) + slack
		assert.Assert(t, float64(within(retries, end)) <= allowed)
	}
	assert.Assert(t, len(retries) > 1000)
}
