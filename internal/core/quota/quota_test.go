package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/share"
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
	const gateways, spare, targets = 6, 3, 16
	bounds := AdmissionBounds{Rate: 26, Factor: 1.5, Slack: 5}
	for _, count := range []int{gateways, gateways + spare} {
		least, names := math.MaxInt, gatewayNames(count)
		for target := range uint64(targets) {
			sum := 0
			for _, name := range names {
				sum += bounds.Share(count, spare, share.NewMembers(name, names).Rank(target), true)
			}
			assert.Assert(t, sum <= int(bounds.Rate), "%d gateways may send %d requests per second", count, sum)
		}
		for _, name := range names {
			limit := 0
			for target := range uint64(targets) {
				limit += bounds.Share(count, spare, share.NewMembers(name, names).Rank(target), true)
			}
			least = min(least, limit)
		}
		assert.Assert(t, least >= 80/3+10, "%d requests per second at %d targets", least, targets)
	}
}

func gatewayNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprint("gateway-", i)
	}
	return names
}

// Shares add up to the bound at any size, for small bounds as well, whether the target is
// known to be cold or not.
func TestAdmissionsOfManyGatewaysStayWithinAnyBound(t *testing.T) {
	const headroom = 3
	for _, count := range []int{1, 6, 9, 34, 37, 420} {
		for _, bounds := range []AdmissionBounds{
			{Rate: 1, Factor: 1},
			{Rate: 1, Factor: 1.5, Slack: 1},
			{Rate: 2, Factor: 1.5, Slack: 5},
			{Rate: 14, Factor: 1.5, Slack: 5},
			{Rate: 26, Factor: 1.5, Slack: 5},
			{Rate: 100, Factor: 1, Slack: 0},
		} {
			for _, cold := range []bool{true, false} {
				sum := 0
				for rank := range count {
					sum += bounds.Share(count, headroom, rank, cold)
				}
				restarted := 0
				for rank := range count {
					restarted += bounds.StartShare(count, rank)
				}
				allowed := int(bounds.Rate*bounds.Factor + bounds.Slack)
				assert.Assert(t, sum+restarted <= allowed, "%d gateways, %+v, cold %t: %d after a restart", count, bounds, cold, sum+restarted)
				assert.Assert(t, sum >= 1 && sum <= allowed, "%d gateways, %+v, cold %t: %d for %d", count, bounds, cold, sum, allowed)
			}
		}
	}
}

// A gateway that restarts does not know what it has sent before.
func TestRestartedGatewaysStayWithinTheRetrySlack(t *testing.T) {
	const slack, window, gateways = 88.0, 10 * time.Second, 9
	started := time.Unix(1000, 0)
	retries := 0
	for range gateways {
		before := NewRetryBudget(0.2, slack, window, started.Add(-2*window))
		for before.Allow(gateways, started.Add(-time.Millisecond)) {
			retries++
		}
		after := NewRetryBudget(0.2, slack, window, started)
		for after.Allow(gateways, started.Add(time.Millisecond)) {
			retries++
		}
		assert.Assert(t, !after.Allow(0, started.Add(window)), "it does not know how many gateways run")
	}
	assert.Assert(t, retries <= slack, "%d retries", retries)
	assert.Assert(t, retries > slack/2, "%d retries", retries)
}

func TestWaitEndsWhenARequestMayBeSent(t *testing.T) {
	now := time.Unix(1000, 0)
	var a Admissions
	assert.Equal(t, a.Wait(2, now), time.Duration(0))
	a.RecordSent(now)
	a.RecordSent(now.Add(100 * time.Millisecond))
	later := now.Add(200 * time.Millisecond)
	wait := a.Wait(2, later)
	assert.Assert(t, !a.CanSend(2, later.Add(wait-1)))
	assert.Assert(t, a.CanSend(2, later.Add(wait)))
	assert.Equal(t, a.Wait(1, later), wait+100*time.Millisecond)
	assert.Equal(t, a.Wait(0, later), AdmissionWindow)
}

func TestRetriesOfAllGatewaysStayWithinTheBudget(t *testing.T) {
	const ratio, slack, gateways = 0.2, 88.0, 9
	window := 10 * time.Second
	now := time.Unix(1000, 0)
	var budgets []*RetryBudget
	for range gateways {
		budgets = append(budgets, NewRetryBudget(ratio, slack, window, now.Add(-window)))
	}
	var requests, retries []time.Time
	for i := range 20000 {
		now = now.Add(2 * time.Millisecond)
		budget := budgets[i%gateways]
		budget.RecordRequest(now)
		requests = append(requests, now)
		for budget.Allow(gateways, now) {
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

func TestAdmittedRequestsCountUntilTheyWereSentAndAWindowLonger(t *testing.T) {
	now := time.Unix(1000, 0)
	var a Admissions
	a.Admit()
	a.Admit()
	a.Cancel()
	later := now.Add(10 * AdmissionWindow)
	assert.Assert(t, !a.CanSend(1, later), "it may still be sent")
	assert.Equal(t, a.Wait(1, later), AdmissionWindow)
	a.RecordAdmittedSent(later)
	assert.Assert(t, !a.CanSend(1, later.Add(AdmissionWindow-1)))
	assert.Assert(t, a.CanSend(1, later.Add(AdmissionWindow)))
}

func TestRequestsThatAreSentLaterByOthersCountFromThen(t *testing.T) {
	now := time.Unix(1000, 0)
	var a Admissions
	a.RecordSent(now.Add(200 * time.Millisecond))
	a.RecordSent(now)
	end := now.Add(AdmissionWindow)
	assert.Assert(t, a.CanSend(2, end) && !a.CanSend(1, end))
	assert.Equal(t, a.Wait(1, end), 200*time.Millisecond)
}
