package limits

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quetzalbend/internal/core/limits"
	"quetzalbend/internal/core/schema"
)

// EnforcementResult holds how closely one policy enforced the limit under one load.
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

// heldPolicy is a way to enforce one limit at several entries.
type heldPolicy struct {
	name  string
	limit func(limit float64, entries int) float64 // the limit that each entry is configured with
	peers bool                                     // whether entries exchange reports
}

func fullLimit(limit float64, _ int) float64        { return limit }
func equalShare(limit float64, entries int) float64 { return limit / float64(entries) }

var heldPolicies = []heldPolicy{
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

// held is one run of a load under a policy.
type held struct {
	*Command

	load     load
	policy   heldPolicy
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

func (c *Command) runHeld(load load, policy heldPolicy) EnforcementResult {
	start := time.Unix(0, 0).UTC()
	h := &held{
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
			limiter.SetPeers(start, h.others(i))
		}
		h.entries = append(h.entries, limiter)
	}
	for h.second = range c.Seconds {
		h.runSecond()
	}
	return h.result()
}

func (h *held) others(entry int) []string {
	var names []string
	for i := range h.Entries {
		if i != entry {
			names = append(names, fmt.Sprint(i))
		}
	}
	return names
}

func (h *held) runSecond() {
	steps := int(time.Second / step)
	for n := range steps {
		h.now = h.now.Add(step)
		h.deliverReports()
		for entry := range h.entries {
			if n == entry*steps/len(h.entries) {
				h.report(entry)
			}
			h.offerRequests(entry)
		}
	}
}

// offerRequests sends the requests of one step to an entry, as a Poisson process.
func (h *held) offerRequests(entry int) {
	rate := h.Limit * h.load.factor * h.load.weight(entry, h.Entries, h.second)
	for h.requests.Float64() < rate*step.Seconds()/(1+rate*step.Seconds()) {
		h.offered[h.second]++
		if grant, _ := h.entries[entry].Admit(h.now, h.account, limits.Subject{}, limits.Subject{}); grant != nil {
			grant.Release(h.now, 0)
			h.admitted[h.second]++
		}
	}
}

// report sends an entry's usage report to the entries that are not cut off from
// it, except for lost reports.
func (h *held) report(from int) {
	if !h.policy.peers {
		return
	}
	report := h.entries[from].Report(h.now)
	for to := range h.entries {
		if to == from || h.isCut(from, to) || h.losses.Float64() < h.LossPart {
			continue
		}
		arrives := h.now.Add(time.Duration(h.DelayMS) * time.Millisecond)
		h.inFlight = append(h.inFlight, reportInFlight{arrives: arrives, from: from, to: to, report: report})
	}
}

// inMiddleThird reports whether a second is in the middle third of the run.
func (h *held) inMiddleThird(second int) bool {
	return second >= h.Seconds/3 && second < 2*h.Seconds/3
}

func (h *held) isCut(from, to int) bool {
	half := h.Entries / 2
	return h.load.cut && h.inMiddleThird(h.second) && (from < half) != (to < half)
}

// deliverReports delivers the reports that have arrived and confirms them to
// their senders.
func (h *held) deliverReports() {
	left := h.inFlight[:0]
	for _, r := range h.inFlight {
		if r.arrives.After(h.now) {
			left = append(left, r)
			continue
		}
		h.entries[r.to].Receive(h.now, fmt.Sprint(r.from), r.report.Usage)
		h.entries[r.from].Delivered(h.now, fmt.Sprint(r.to), r.report.Number)
	}
	h.inFlight = left
}

func (h *held) result() EnforcementResult {
	var offered, admitted, inMiddleThird, allowed, window, worst float64
	var middle int
	for second := range h.Seconds {
		offered += float64(h.offered[second])
		admitted += float64(h.admitted[second])
		allowed += min(h.Limit, float64(h.offered[second]))
		if h.inMiddleThird(second) {
			middle++
			inMiddleThird += float64(h.admitted[second])
		}
		window += float64(h.admitted[second])
		if second >= worstWindow {
			window -= float64(h.admitted[second-worstWindow])
		}
		worst = max(worst, window)
	}
	seconds := float64(h.Seconds)
	return EnforcementResult{
		Load: h.load.name, Policy: h.policy.name,
		OfferedPerSecond: offered / seconds, AdmittedPerSecond: admitted / seconds,
		OfLimit:      admitted / seconds / h.Limit,
		OfLimitInCut: inMiddleThird / float64(middle) / h.Limit,
		WorstOfLimit: worst / worstWindow / h.Limit,
		Used:         admitted / allowed,
	}
}
