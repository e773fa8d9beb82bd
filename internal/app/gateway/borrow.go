package gateway

import (
	"bytes"
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/quota"
	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/core/share"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/wire"
)

const (
	borrowTimeout = 80 * time.Millisecond // of a question for an admission
	// lentTime is the time from the question in which a lent admission may be used. The
	// lender counts the request as sent at its end.
	lentTime         = 150 * time.Millisecond
	maxBorrowAsks    = 3  // gateways that are asked for one request
	maxBorrowTargets = 16 // targets that a question names
	// maxBorrowPause is the longest time for which no gateway is asked again for admissions
	// to a service after all that were asked have refused.
	maxBorrowPause   = 250 * time.Millisecond
	maxQuestionBytes = 64 << 10
)

// borrow asks gateways that have a share of a target for one of their admissions, if this
// gateway has none left at any target of the service.
func (x *exchange) borrow(ctx context.Context) (*sending, bool) {
	view, now := x.gateway.state.View(), time.Now()
	service := view.Settings.Services[x.service]
	if service == nil || service.ColdRate <= 0 || x.gateway.borrowing.pausedUntil(x.service).After(now) {
		return nil, false
	}
	gates := x.gateway.gates(now)
	targets := x.gateway.loads.rankByLoad(view.Targets[x.service], x.tried, gates, now)
	targets = targets[:min(len(targets), maxBorrowTargets)]
	shortest := maxBorrowPause
	refused := false
	for _, target := range targets[:min(len(targets), maxBorrowAsks)] {
		lender, found := x.gateway.peers.lender(target, gates.admission.bound(service), now)
		if !found {
			continue
		}
		asked := time.Now()
		answer, err := x.gateway.peers.askAdmission(ctx, lender, x.service, targets)
		x.logBorrowed(lender, answer, err)
		if i := indexOf(targets, answer.GetTarget()); err == nil && i >= 0 {
			x.gateway.loads.recordBorrowed(targets[i], gates, time.Now())
			return x.gateway.newBorrowedSending(targets[i], asked.Add(lentTime)), true
		}
		refused = true
		if err == nil {
			shortest = min(shortest, time.Duration(answer.WaitMs)*time.Millisecond)
		}
	}
	if refused {
		x.gateway.borrowing.pause(x.service, time.Now().Add(shortest))
	}
	return nil, false
}

func indexOf(targets []registry.Usable, id string) int {
	return slices.IndexFunc(targets, func(t registry.Usable) bool { return t.ID == id })
}

// borrowing records for which services no admissions are asked for, since none were left.
type borrowing struct {
	mu     sync.Mutex
	paused map[string]time.Time // by service
}

func (b *borrowing) pausedUntil(service string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.paused[service]
}

func (b *borrowing) pause(service string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.paused == nil {
		b.paused = make(map[string]time.Time)
	}
	b.paused[service] = until
}

func (x *exchange) logBorrowed(lender string, answer *wire.AdmissionAnswer, err error) {
	fields := eventlog.Fields{
		"request": x.caller.RequestID, "lender": lender, "target": answer.GetTarget(), "wait_ms": answer.GetWaitMs(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	x.gateway.log.Decision("admission asked for", fields)
}

// rankByLoad returns the targets to which only the admission limit may keep a request from
// being sent, those with the lowest load first.
func (l *loads) rankByLoad(targets []registry.Usable, tried map[string]bool, gates targetGates, now time.Time) []registry.Usable {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []registry.Usable
	load := make(map[string]int)
	for _, i := range rand.Perm(len(targets)) {
		target := targets[i]
		candidate := l.candidate(l.target(target.ID, now), target, tried, now)
		if candidate.Tried || candidate.RecentlyFailed || !gates.allow(target, now) {
			continue
		}
		load[target.ID] = candidate.Load
		open = append(open, target)
	}
	slices.SortStableFunc(open, func(a, b registry.Usable) int {
		return cmp.Compare(load[a.ID]*max(b.Slots, 1), load[b.ID]*max(a.Slots, 1))
	})
	return open
}

// recordBorrowed counts a request that is sent to a target by an admission of another
// gateway, which has counted that.
func (l *loads) recordBorrowed(target registry.Usable, gates targetGates, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target(target.ID, now).ownRequests++
	gates.recordSent(target, now)
}

// admissionWait returns how long it takes until this gateway's share lets it send a request
// to one of the targets.
func (l *loads) admissionWait(service *fleet.Service, targets []registry.Usable, limits admissionLimits, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var shortest time.Duration
	for i, target := range targets {
		t := l.target(target.ID, now)
		wait := t.admissions.Wait(limits.of(service, t, target, now), now)
		if i == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// lender returns the control address of a gateway that has a share of a target and is
// alive, one of them at random.
func (p *peers) lender(target registry.Usable, bound quota.AdmissionBounds, now time.Time) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	members := p.members.members()
	if members == nil {
		return "", false
	}
	cold := now.Before(target.ColdUntil)
	var addresses []string
	for rank, name := range share.NamesByRank(targetHash(target.ID), p.members.names()) {
		if bound.Share(members.Count(), gatewayHeadroom, rank, cold) == 0 {
			break
		}
		node, known := p.nodes[name]
		if known && name != p.gateway.node.Name && now.Sub(node.heard) <= aliveAge {
			addresses = append(addresses, node.record.Control)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// askAdmission asks the gateway with a control address for an admission to one of the
// targets.
func (p *peers) askAdmission(ctx context.Context, address, service string, targets []registry.Usable) (*wire.AdmissionAnswer, error) {
	question := &wire.AdmissionQuestion{Service: service}
	for _, target := range targets {
		question.Targets = append(question.Targets, &wire.AdmissionTarget{Id: target.ID, Born: target.Born})
	}
	data, err := proto.Marshal(question)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+admissionPath, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	answer := &wire.AdmissionAnswer{}
	if err := p.exchange(request, answer, maxQuestionBytes); err != nil {
		return nil, errors.Wrapf(err, "ask %s for an admission", address)
	}
	return answer, nil
}
