package limits

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quetzalbend/internal/core/limits"
	"quetzalbend/internal/core/schema"
)

// EnforcementResult holds how closely one policy enforced the limit under one
// load.
type EnforcementResult struct {
	Load              string  `json:"load"`
	Policy            string  `json:"policy"`
	OfferedPerSecond  float64 `json:"offered_per_second"`
	AdmittedPerSecond float64 `json:"admitted_per_second"`
	OfLimit           float64 `json:"admitted_of_limit"`
	OfLimitInCut      float64 `json:"admitted_of_limit_in_middle_third"` // the cut of load "cut"
	WorstOfLimit      float64 `json:"worst_10s_of_limit"`
	Used              float64 `json:"used"` // admitted over the lesser of limit and demand, summed by second
}

// load is a distribution of requests over entries and time.
type load struct {
	name string
	// weight is the fraction of the offered rate that goes to an entry in a second.
	weight func(entry, entries, second int) float64
	factor float64 // offered rate over the limit
	cut    bool    // partition the first half of the entries from the rest in the middle third
}

// spread sends the same rate to each entry.
func spread(_, entries, _ int) float64 { return 1 / float64(entries) }

// moving sends all requests to one entry, the next one every 20 s.
func moving(entry, entries, second int) float64 {
	if (second/20)%entries == entry {
		return 1
	}
	return 0
}

// uneven sends half of the requests to one entry and spreads the rest over all.
func uneven(entry, entries, _ int) float64 {
	if entry == 0 {
		return 0.5 + 0.5/float64(entries)
	}
	return 0.5 / float64(entries)
}

var loads = []load{
	{name: "spread", weight: spread, factor: 3},
	{name: "below limit, uneven", weight: uneven, factor: 0.8},
	{name: "uneven", weight: uneven, factor: 3},
	{name: "moving", weight: moving, factor: 3},
	{name: "cut", weight: spread, factor: 3, cut: true},
	{name: "cut, moving", weight: moving, factor: 3, cut: true},
}

// enforcementPolicy is a way to enforce one limit at several entries.
type enforcementPolicy struct {
	name  string
	limit func(limit float64, entries int) float64 // the limit that each entry is configured with
	peers bool                                     // whether entries exchange reports
}

func fullLimit(limit float64, _ int) float64        { return limit }
func equalShare(limit float64, entries int) float64 { return limit / float64(entries) }

var enforcementPolicies = []enforcementPolicy{
	{name: "full limit at each entry", limit: fullLimit},
	{name: "fixed 1/n share", limit: equalShare},
	{name: "quetzalbend", limit: fullLimit, peers: true},
}

// Intervals of virtual time.
const (
	step           = 5 * time.Millisecond
	reportInterval = time.Second
	worstWindow    = 10 // seconds
)

// reportInFlight is a report that has been sent and not yet delivered.
type reportInFlight struct {
	arrives  time.Time
	from, to int
	report   limits.Report
}

// enforcement is one run of a load under a policy.
type enforcement struct {
	*Command

	load     load
	policy   enforcementPolicy
	requests *rand.Rand // for arrivals; apart from losses, so that they are the same for all policies
	losses   *rand.Rand // for lost reports
	entries  []*limits.Limiter
	account  limits.Subject
	now      time.Time
	second   int
	inFlight []reportInFlight
	offered  []int // by second
	admitted []int // by second
}

func (c *Command) runEnforcement(load load, policy enforcementPolicy) EnforcementResult {
	start := time.Unix(0, 0).UTC()
	e := &enforcement{
		Command: c, load: load, policy: policy, now: start,
		requests: rand.New(rand.NewPCG(c.Seed, 1)),
		losses:   rand.New(rand.NewPCG(c.Seed, 3)),
		offered:  make([]int, c.Seconds),
		admitted: make([]int, c.Seconds),
		account:  limits.AccountSubject("team", "account", schema.Limits{RequestsPerSecond: policy.limit(c.Limit, c.Entries)}),
	}
	for i := range c.Entries {
		limiter := limits.New(limits.Config{})
		if policy.peers {
			limiter.SetPeers(start, e.others(i))
		}
		e.entries = append(e.entries, limiter)
	}
	for e.second = range c.Seconds {
		e.runSecond()
	}
	return e.result()
}

// others returns the names of all entries but one.
func (e *enforcement) others(entry int) []string {
	var names []string
	for i := range e.Entries {
		if i != entry {
			names = append(names, fmt.Sprint(i))
		}
	}
	return names
}

func (e *enforcement) runSecond() {
	steps := int(time.Second / step)
	for n := range steps {
		e.now = e.now.Add(step)
		e.deliverReports()
		for entry := range e.entries {
			if n == entry*steps/len(e.entries) {
				e.report(entry)
			}
			e.offerRequests(entry)
		}
	}
}

// offerRequests sends the requests of one step to an entry. Their number is
// geometrically distributed, which over short steps is close to a Poisson process.
func (e *enforcement) offerRequests(entry int) {
	rate := e.Limit * e.load.factor * e.load.weight(entry, e.Entries, e.second)
	for e.requests.Float64() < rate*step.Seconds()/(1+rate*step.Seconds()) {
		e.offered[e.second]++
		if grant, _ := e.entries[entry].Admit(e.now, e.account, limits.Subject{}, limits.Subject{}); grant != nil {
			grant.Release(e.now, 0)
			e.admitted[e.second]++
		}
	}
}

// report sends an entry's usage report to the entries that are not cut off from
// it, except for lost reports.
func (e *enforcement) report(from int) {
	if !e.policy.peers {
		return
	}
	report := e.entries[from].Report(e.now)
	for to := range e.entries {
		if to == from || e.isCut(from, to) || e.losses.Float64() < e.LossPart {
			continue
		}
		arrives := e.now.Add(time.Duration(e.DelayMS) * time.Millisecond)
		e.inFlight = append(e.inFlight, reportInFlight{arrives: arrives, from: from, to: to, report: report})
	}
}

// inMiddleThird reports whether a second is in the middle third of the run.
func (e *enforcement) inMiddleThird(second int) bool {
	return second >= e.Seconds/3 && second < 2*e.Seconds/3
}

// isCut reports whether a partition separates two entries now.
func (e *enforcement) isCut(from, to int) bool {
	half := e.Entries / 2
	return e.load.cut && e.inMiddleThird(e.second) && (from < half) != (to < half)
}

// deliverReports delivers the reports that have arrived and confirms them to
// their senders.
func (e *enforcement) deliverReports() {
	left := e.inFlight[:0]
	for _, r := range e.inFlight {
		if r.arrives.After(e.now) {
			left = append(left, r)
			continue
		}
		e.entries[r.to].Receive(e.now, fmt.Sprint(r.from), r.report.Usage)
		e.entries[r.from].Delivered(e.now, fmt.Sprint(r.to), r.report.Number)
	}
	e.inFlight = left
}

func (e *enforcement) result() EnforcementResult {
	var offered, admitted, inMiddleThird, allowed, window, worst float64
	var middle int
	for second := range e.Seconds {
		offered += float64(e.offered[second])
		admitted += float64(e.admitted[second])
		allowed += min(e.Limit, float64(e.offered[second]))
		if e.inMiddleThird(second) {
			middle++
			inMiddleThird += float64(e.admitted[second])
		}
		window += float64(e.admitted[second])
		if second >= worstWindow {
			window -= float64(e.admitted[second-worstWindow])
		}
		worst = max(worst, window)
	}
	seconds := float64(e.Seconds)
	return EnforcementResult{
		Load: e.load.name, Policy: e.policy.name,
		OfferedPerSecond: offered / seconds, AdmittedPerSecond: admitted / seconds,
		OfLimit:      admitted / seconds / e.Limit,
		OfLimitInCut: inMiddleThird / float64(middle) / e.Limit,
		WorstOfLimit: worst / worstWindow / e.Limit,
		Used:         admitted / allowed,
	}
}
