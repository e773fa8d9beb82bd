package gateway

import (
	"math/rand/v2"
	"time"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/pick"
	"quetzalbend/internal/core/quota"
	"quetzalbend/internal/core/registry"
)

// choose picks a target of the service for a request and counts the request in
// the target's load. It returns false if no target may be sent the request now.
func (l *loads) choose(service *fleet.Service, targets []registry.Usable, tried map[string]bool, limits targetGates, now time.Time) (registry.Usable, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates := make([]pick.Candidate, len(targets))
	for i := range targets {
		t := l.target(targets[i].ID, now)
		cold := now.Before(targets[i].ColdUntil)
		candidates[i] = pick.Candidate{
			Load:           t.ownRequests + l.peerRequests(targets[i].ID, now),
			Slots:          targets[i].Slots,
			Limited:        !t.admissions.CanSend(limits.admission.of(service, cold), now) || !limits.allow(targets[i], now),
			RecentlyFailed: now.Before(t.suspectUntil),
			Tried:          tried[targets[i].ID],
		}
	}
	best := pick.Best(candidates, rand.Float64())
	if best < 0 {
		return registry.Usable{}, false
	}
	t := l.target(targets[best].ID, now)
	t.ownRequests++
	t.admissions.RecordSent(now)
	limits.recordSent(targets[best], now)
	return targets[best], true
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
	gateways int
}

// of returns the requests per second that this gateway may send to one target of
// the service.
func (a admissionLimits) of(service *fleet.Service, cold bool) int {
	return quota.AdmissionLimit(service.ColdRate, a.bounds.ColdFactor, a.bounds.ColdSlack, a.gateways, cold)
}
