package gateway

import (
	"math/rand/v2"
	"time"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/pick"
	"quetzalbend/internal/core/quota"
	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/core/share"
)

// choose picks a target of the service for a request and counts the request in
// the target's load and among its admissions (see sending). It returns false if no target may be sent the request now.
func (l *loads) choose(service *fleet.Service, targets []registry.Usable, tried map[string]bool, limits targetGates, now time.Time) (registry.Usable, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates := make([]pick.Candidate, len(targets))
	for i := range targets {
		t := l.target(targets[i].ID, now)
		candidates[i] = l.candidate(t, targets[i], tried, now)
		admitted := t.admissions.CanSend(limits.admission.of(service, t, targets[i], now), now)
		candidates[i].Limited = !admitted || !limits.allow(targets[i], now)
	}
	best := pick.Best(candidates, rand.Float64())
	if best < 0 {
		return registry.Usable{}, false
	}
	t := l.target(targets[best].ID, now)
	t.ownRequests++
	t.admissions.Admit()
	limits.recordSent(targets[best], now)
	return targets[best], true
}

// candidate returns what is known of a target, without its limits. The caller holds the
// lock.
func (l *loads) candidate(t *targetLoad, target registry.Usable, tried map[string]bool, now time.Time) pick.Candidate {
	return pick.Candidate{
		Load:           t.ownRequests + l.peerRequests(t.hash, now),
		Slots:          target.Slots,
		RecentlyFailed: now.Before(t.suspectUntil),
		Tried:          tried[target.ID],
	}
}

// targetGates holds all that may keep a request from a target.
type targetGates struct {
	admission admissionLimits
	named     *targetLimits
	rests     *targetRests
}

func (g targetGates) allow(target registry.Usable, now time.Time) bool {
	return g.rests.allow(target, now) && g.named.allow(target, now)
}

func (g targetGates) recordSent(target registry.Usable, now time.Time) {
	g.rests.recordSent(target, now)
	g.named.recordSent(target, now)
}

// admissionLimits computes this gateway's share of the targets' admission rates.
type admissionLimits struct {
	bounds   fleet.Bounds
	members  *share.Members // nil: this gateway has no share
	starting bool           // this gateway has only what is left to those that start
}

// of returns the requests per second that this gateway may send to a target of the service.
func (a admissionLimits) of(service *fleet.Service, t *targetLoad, target registry.Usable, now time.Time) int {
	rank := 0
	if service.ColdRate > 0 && a.members != nil {
		rank = t.rankIn(a.members)
	}
	if a.starting {
		return a.bound(service).StartShare(a.members.Count(), rank)
	}
	return a.bound(service).Share(a.members.Count(), gatewayHeadroom, rank, now.Before(target.ColdUntil))
}

func (a admissionLimits) bound(service *fleet.Service) quota.AdmissionBounds {
	return quota.AdmissionBounds{Rate: service.ColdRate, Factor: a.bounds.ColdFactor, Slack: a.bounds.ColdSlack}
}
