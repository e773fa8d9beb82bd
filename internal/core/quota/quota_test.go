package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAdmissionsInAnySecond(t *testing.T) {
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
		assert.Assert(t, sent[i+4].Sub(sent[i]) > time.Second, "five within a second")
	}
	assert.Assert(t, len(sent) > 60)
}

// Six gateways take what callers ask of a cold group of 16, 80 requests a second,
// unevenly: the one that is alone in its failure domain gets a third. Together
// with three that are added at that moment they stay within the rule.
func TestColdTargetsTakeOrdinaryDemand(t *testing.T) {
	const rate, factor, slack, gateways, spare = 26, 1.5, 5, 6, 3
	limit := AdmissionLimit(rate, factor, slack, gateways+spare, true)
	assert.Assert(t, limit*16 >= 80/3+10, "%d a second at each of 16 targets", limit)
	assert.Assert(t, limit*gateways <= rate, "six gateways may send %d a second", limit*gateways)
	assert.Assert(t, limit*(gateways+spare) <= rate*factor+slack, "nine gateways may send %d a second", limit*(gateways+spare))
}

func TestRetriesOfAllGatewaysStayWithinTheBudget(t *testing.T) {
	const ratio, slack, gateways = 0.2, 88.0, 9
	window := 10 * time.Second
	now := time.Unix(1000, 0)
	var shares []*RetryBudget
	for range gateways {
		shares = append(shares, NewRetryBudget(ratio, slack, window, gateways))
	}
	var requests, retries []time.Time
	for i := range 20000 {
		now = now.Add(2 * time.Millisecond)
		share := shares[i%gateways]
		share.RecordRequest(now)
		requests = append(requests, now)
		for share.Allow(now) {
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
