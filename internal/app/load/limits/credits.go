package limits

import (
	"fmt"
	"math"
	"time"

	"quetzalbend/internal/core/limits"
	"quetzalbend/internal/core/schema"
)

// CreditsResult holds how completely one policy used credits by their expiry date
// and what it served.
type CreditsResult struct {
	Policy          string  `json:"policy"`
	Used            float64 `json:"used_of_credits"`          // by the expiry date, at most 1
	UnpaidHours     float64 `json:"interactive_unpaid_hours"` // served after the credits were gone
	InteractiveLate int     `json:"interactive_held_back"`    // refused requests
	BatchTokensPerS float64 `json:"batch_tokens_per_second"`
	CapacityUsed    float64 `json:"capacity_used"`
}

// The credits scenario: interactive work that varies over the day below a fixed
// capacity, and unlimited batch work that uses idle capacity.
const (
	creditDays     = 2
	creditCapacity = 1000.0 // tokens a second
	creditMean     = 300.0  // interactive tokens a second
	creditSwing    = 250.0  // amplitude of the daily variation around creditMean
	creditTokens   = 250    // tokens of a request
	creditStep     = 20 * time.Second
)

// fixedBatch stands for the batch rate that uses up the credits if the mean rate
// of interactive work is known in advance.
const fixedBatch = -1

// creditPolicy is a way to throttle batch work.
type creditPolicy struct {
	name  string
	batch float64 // batch tokens a second; 0: none, +Inf: all idle capacity, or fixedBatch
	paced bool    // whether the limiters pace the use of credits
}

var creditPolicies = []creditPolicy{
	{name: "no batch work"},
	{name: "batch takes all that is idle", batch: math.Inf(1)},
	{name: "fixed rate of batch", batch: fixedBatch},
	{name: "quetzalbend", batch: math.Inf(1), paced: true},
}

// creditRun is one run under a policy.
type creditRun struct {
	policy          creditPolicy
	entries         []*limits.Limiter
	credits         schema.Credits
	remainingTokens float64 // credits left
	result          CreditsResult
	totalTokens     float64 // generated over the whole run
	offered         int     // requests so far, which go to the entries in turn
}

func (c *Command) runCredits(policy creditPolicy) CreditsResult {
	start := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	duration := creditDays * 24 * time.Hour
	paid := creditCapacity * c.CreditPart * duration.Seconds()
	if policy.batch == fixedBatch {
		policy.batch = max(creditCapacity*c.CreditPart-creditMean, 0)
	}
	r := &creditRun{policy: policy, remainingTokens: paid, result: CreditsResult{Policy: policy.name}}
	r.credits = schema.Credits{
		Tokens: int64(paid), AsOf: start.Format(time.RFC3339), Expires: start.Add(duration).Format(time.RFC3339),
	}
	for i := range c.Entries {
		limiter := limits.New(limits.Config{StaleAfter: 4 * creditStep, Guard: 3 * creditStep})
		var peers []string
		for j := range c.Entries {
			if j != i {
				peers = append(peers, fmt.Sprint(j))
			}
		}
		limiter.SetPeers(start, peers)
		r.entries = append(r.entries, limiter)
	}
	for at := time.Duration(0); at < duration; at += creditStep {
		r.step(start.Add(at), at)
	}
	r.result.Used = (paid - max(r.remainingTokens, 0)) / paid
	r.result.BatchTokensPerS /= duration.Seconds()
	r.result.CapacityUsed = r.totalTokens / (creditCapacity * duration.Seconds())
	return r.result
}

// step serves the interactive work of one step and then batch work with the idle
// capacity.
func (r *creditRun) step(now time.Time, at time.Duration) {
	day := 2 * math.Pi * at.Hours() / 24
	interactive := (creditMean + creditSwing*math.Sin(day)) * creditStep.Seconds()
	capacity := creditCapacity * creditStep.Seconds()
	if r.remainingTokens <= 0 {
		r.result.UnpaidHours += creditStep.Hours()
	}
	var used float64
	for ; used+creditTokens <= interactive; used += creditTokens {
		if !r.send(now, schema.Interactive) {
			r.result.InteractiveLate++
		}
	}
	stepLimit := min(capacity, used+r.policy.batch*creditStep.Seconds())
	for refusals := 0; used+creditTokens <= stepLimit && refusals < len(r.entries) && r.remainingTokens > 0; {
		if !r.send(now, schema.Batch) {
			refusals++
			continue
		}
		used += creditTokens
		r.result.BatchTokensPerS += creditTokens
	}
	r.totalTokens += used
	r.report(now)
}

// send offers one request to the next entry in turn and reports whether it was
// admitted.
func (r *creditRun) send(now time.Time, class schema.Class) bool {
	r.offered++
	if !r.policy.paced {
		r.remainingTokens -= creditTokens
		return true
	}
	subject := limits.CreditsSubject("team", &r.credits, class, now)
	grant, _ := r.entries[r.offered%len(r.entries)].Admit(now, limits.Subject{}, limits.Subject{}, subject)
	if grant == nil {
		return false
	}
	grant.Release(now, creditTokens)
	r.remainingTokens -= creditTokens
	return true
}

// report delivers the usage report of each entry to all others.
func (r *creditRun) report(now time.Time) {
	if !r.policy.paced {
		return
	}
	for i, from := range r.entries {
		report := from.Report(now)
		for j, to := range r.entries {
			if i != j {
				to.Receive(now, fmt.Sprint(i), report.Usage)
				from.Delivered(now, fmt.Sprint(j), report.Number)
			}
		}
	}
}
