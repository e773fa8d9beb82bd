package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestCallThatMayHaveRunIsRetriedOnlyIfRepeatable(t *testing.T) {
	now := time.Unix(1, 0)
	for _, c := range []struct {
		outcome    Outcome
		repeatable bool
		want       Action
	}{
		{NotSent, false, Retry},
		{NotRunBusy, false, Retry},
		{NotRunOther, false, Retry},
		{Failed, false, GiveUp},
		{Broken, false, Ask},
		{Malformed, false, Ask},
		{NotSent, true, Retry},
		{NotRunBusy, true, Retry},
		{Failed, true, Retry},
		{Broken, true, Retry},
		{Malformed, true, Retry},
	} {
		budget := &Budget{}
		budget.balance.Store(maxBalance)
		got := Decide(Attempt{Outcome: c.outcome, Repeatable: c.repeatable, Number: 1, Now: now, Deadline: now.Add(time.Second)}, budget)
		assert.Equal(t, got, c.want, "outcome %d, repeatable %t", c.outcome, c.repeatable)
	}
}

func TestNoRetryWithoutTimeAttemptsOrBudget(t *testing.T) {
	now := time.Unix(1, 0)
	for what, attempt := range map[string]Attempt{
		"deadline": {Outcome: NotSent, Repeatable: true, Number: 1, Now: now, Deadline: now.Add(time.Millisecond)},
		"attempts": {Outcome: NotSent, Repeatable: true, Number: maxAttempts, Now: now, Deadline: now.Add(time.Hour)},
		"breaks":   {Outcome: Broken, Repeatable: true, Number: 4, FailuresAfterSend: maxFailuresAfterSend, Now: now, Deadline: now.Add(time.Hour)},
		"budget":   {Outcome: NotRunBusy, Repeatable: true, Number: 1, Now: now, Deadline: now.Add(time.Hour)},
	} {
		assert.Equal(t, Decide(attempt, &Budget{}), GiveUp, what)
	}
}

// TestRetriesStayWithinTenPercentOfRequests starts with an empty budget: the initial
// balance of NewBudget allows more retries at first.
func TestRetriesStayWithinTenPercentOfRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := &Budget{}
		requests, retries := 0, 0
		for _, request := range rapid.SliceOfN(rapid.Bool(), 1, 5000).Draw(t, "requests") {
			if request {
				budget.Deposit()
				requests++
			} else if budget.Withdraw() {
				retries++
			}
		}
		if 10*retries > requests {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

func TestANewProcessRetriesItsFirstRequests(t *testing.T) {
	now := time.Unix(1, 0)
	refused := Attempt{Outcome: NotRunBusy, Repeatable: true, Number: 1, Now: now, Deadline: now.Add(time.Hour)}
	assert.Equal(t, Decide(refused, NewBudget()), Retry)
}

func TestRefusalsForLackOfCapacityAndRepeatedFailuresUseTheBudget(t *testing.T) {
	now := time.Unix(1, 0)
	attempt := Attempt{Repeatable: true, Number: 2, Now: now, Deadline: now.Add(time.Hour)}
	for outcome, want := range map[Outcome]Action{NotRunBusy: GiveUp, NotRunOther: Retry, NotSent: Retry, Failed: Retry} {
		attempt.Outcome = outcome
		assert.Equal(t, Decide(attempt, &Budget{}), want)
	}
	attempt.Outcome, attempt.FailuresAfterSend = NotRunBusy, 1
	assert.Equal(t, Decide(attempt, &Budget{}), Retry)
	attempt.Outcome, attempt.FailuresAfterSend = Broken, maxFreeFailures
	assert.Equal(t, Decide(attempt, &Budget{}), Retry)
	attempt.FailuresAfterSend++
	assert.Equal(t, Decide(attempt, &Budget{}), GiveUp)
}

func TestPausesGrowAndEnd(t *testing.T) {
	last := time.Duration(0)
	for round := range maxPauses {
		pause, ok := Pause(round)
		assert.Assert(t, ok && pause > last)
		last = pause
	}
	_, ok := Pause(maxPauses)
	assert.Assert(t, !ok)
}
