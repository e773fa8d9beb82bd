package gateway

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/quota"
	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/core/share"
	"quetzalbend/internal/eventlog"
)

const (
	borrowTimeout = 80 * time.Millisecond // of a question for an admission
	// lentTime is the time from the question in which a lent admission may be used. The
	// lender counts the request as sent at its end.
	lentTime      = 150 * time.Millisecond
	maxBorrowAsks = 3 // gateways that are asked for one request
	// borrowBackoff is how long no gateway is asked again for admissions to a service after
	// all that were asked have refused.
	borrowBackoff = 250 * time.Millisecond
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
	for _, target := range targets[:min(len(targets), maxBorrowAsks)] {
		lender, found := x.gateway.peers.lender(target, gates.admission.bound(service), now)
		if !found {
			continue
		}
		asked := time.Now()
		granted, err := x.gateway.peers.askAdmission(ctx, lender, x.service, target)
		x.logBorrowed(target, lender, granted, err)
		if granted {
			x.gateway.loads.recordBorrowed(target, gates, time.Now())
			return x.gateway.newBorrowedSending(target, asked.Add(lentTime)), true
		}
	}
	x.gateway.borrowing.pause(x.service, time.Now().Add(borrowBackoff))
	return nil, false
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

func (x *exchange) logBorrowed(target registry.Usable, lender string, granted bool, err error) {
	fields := eventlog.Fields{"request": x.caller.RequestID, "target": target.ID, "lender": lender, "granted": granted}
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

// lend counts a request to a target that another gateway is about to send, and reports
// whether this gateway's share allows that.
func (l *loads) lend(service *fleet.Service, target registry.Usable, gates targetGates, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.target(target.ID, now)
	if !t.admissions.CanSend(gates.admission.of(service, t, target, now), now) || !gates.allow(target, now) {
		return false
	}
	t.admissions.RecordSent(now.Add(lentTime))
	return true
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

// Parameters of a question for an admission.
const (
	serviceQuery = "service"
	targetQuery  = "target"
	bornQuery    = "born"
)

// askAdmission asks the gateway with a control address for an admission to a target.
func (p *peers) askAdmission(ctx context.Context, address, service string, target registry.Usable) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	query := url.Values{serviceQuery: {service}, targetQuery: {target.ID}, bornQuery: {strconv.FormatInt(target.Born, 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+admissionPath+"?"+query.Encode(), nil)
	if err != nil {
		return false, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return false, errors.Wrapf(err, "ask %s for an admission", address)
	}
	defer response.Body.Close() //nolint:errcheck // the body is empty
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false, errors.Wrapf(err, "ask %s for an admission", address)
	}
	return response.StatusCode == http.StatusNoContent, nil
}

// serveAdmission lends a peer one of this gateway's admissions to a target.
func (g *Gateway) serveAdmission(w http.ResponseWriter, r *http.Request) {
	query, now := r.URL.Query(), time.Now()
	born, err := strconv.ParseInt(query.Get(bornQuery), 10, 64)
	view := g.state.View()
	if err != nil || view == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := query.Get(serviceQuery)
	service := view.Settings.Services[name]
	i := slices.IndexFunc(view.Targets[name], func(t registry.Usable) bool {
		return t.ID == query.Get(targetQuery) && t.Born == born
	})
	if service == nil || i < 0 || !g.loads.lend(service, view.Targets[name][i], g.gates(now), now) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
