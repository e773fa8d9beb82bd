package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/limits"
	"quetzalbend/internal/metrics"
	"quetzalbend/internal/settingssync"
	"quetzalbend/internal/wire"
)

const (
	permitTimeout   = 100 * time.Millisecond // for one peer that is asked for a permit
	permitsTimeout  = 300 * time.Millisecond // for all peers that are asked for one request
	askHeldInterval = time.Second            // between questions, after the start, to a peer that has not answered
)

// Counters of permits, in /metrics.
const (
	permitsLent      = "permits_lent_total"
	permitsBorrowed  = "permits_borrowed_total"
	permitsNotLent   = "permits_not_lent_total" // requests for which no peer had one
	permitAsksFailed = "permit_asks_failed_total"
)

// permits borrows permits of concurrency limits from other entries, and lends them.
type permits struct {
	name     string
	peers    []settingssync.Peer
	pool     *link.Pool
	limits   *limits.Limiter
	catalog  func() *catalog.Catalog // nil before the first settings
	registry *metrics.Registry
}

// admitFunc admits a request with permits that are lent for it.
type admitFunc func(loans ...limits.Loan) (*limits.Grant, *limits.Refusal)

// admit admits a request that was refused, if it lacks only permits that peers lend.
func (p *permits) admit(refusal *limits.Refusal, admit admitFunc) (*limits.Grant, *limits.Refusal) {
	ctx, cancel := context.WithTimeout(context.Background(), permitsTimeout)
	defer cancel()
	var loans []limits.Loan
	for refusal != nil {
		loan, lent := p.borrow(ctx, refusal)
		if !lent {
			break
		}
		loans = append(loans, loan)
		var grant *limits.Grant
		if grant, refusal = admit(loans...); refusal == nil {
			return grant, nil
		}
	}
	p.limits.Drop(loans...)
	p.giveBack(loans)
	return nil, refusal
}

// borrow asks peers for the permit that a refused request lacks.
func (p *permits) borrow(ctx context.Context, refusal *limits.Refusal) (limits.Loan, bool) {
	lenders := p.limits.Lenders(time.Now(), refusal)
	if len(lenders) == 0 {
		return limits.Loan{}, false
	}
	for _, name := range lenders {
		loan := p.limits.Borrow(name, refusal.Subject)
		lent, err := p.ask(ctx, loan)
		if lent {
			p.registry.Counter(permitsBorrowed).Inc(1)
			return loan, true
		}
		p.limits.Drop(loan)
		if err != nil {
			p.registry.Counter(permitAsksFailed).Inc(1)
			p.giveBack([]limits.Loan{loan}) // the peer may have lent it
		}
	}
	p.registry.Counter(permitsNotLent).Inc(1)
	p.limits.NoneLent(time.Now(), refusal.Subject)
	return limits.Loan{}, false
}

// ask asks the lender of a permit for it. An answer that comes late counts as none,
// since the lender counts the permit only for so long.
func (p *permits) ask(ctx context.Context, loan limits.Loan) (bool, error) {
	askedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var answer wire.PermitAnswer
	request := &wire.PermitRequest{Node: p.name, Permit: loan.ID, Subject: loan.Subject}
	if err := p.exchange(ctx, loan.Lender, &wire.Open{Purpose: &wire.Open_Permit{Permit: request}}, &answer); err != nil {
		return false, err
	}
	if time.Since(askedAt) > permitTimeout {
		return false, errors.Errorf("answer of %s is late", loan.Lender)
	}
	return answer.GetLent(), nil
}

// exchange sends a message to a peer and receives the answer, until ctx ends. A nil
// answer is not waited for.
func (p *permits) exchange(ctx context.Context, peer string, open *wire.Open, answer proto.Message) error {
	i := slices.IndexFunc(p.peers, func(known settingssync.Peer) bool { return known.Name == peer })
	if i < 0 {
		return errors.Errorf("no peer %s", peer)
	}
	stream, err := p.pool.Open(ctx, p.peers[i].Addr, open)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	if answer == nil {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return errors.Wrapf(err, "receive from %s", peer)
		}
	}
	return stream.Receive(answer)
}

// giveBack tells lenders that permits are no longer used. A message that is lost does
// no harm, since lenders ask in each round.
func (p *permits) giveBack(loans []limits.Loan) {
	for _, loan := range loans {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
			defer cancel()
			back := &wire.PermitReturn{Node: p.name, Permit: loan.ID}
			if err := p.exchange(ctx, loan.Lender, &wire.Open{Purpose: &wire.Open_PermitReturn{PermitReturn: back}}, nil); err != nil {
				p.registry.Counter(permitAsksFailed).Inc(1)
			}
		}()
	}
}

// run asks the peers, from the start on, which permits of this entry they hold, until
// all have answered or no longer delay the use of its parts. The exchange asks the rest.
func (p *permits) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, limits.HeldWait)
	defer cancel()
	ticker := time.NewTicker(askHeldInterval)
	defer ticker.Stop()
	for {
		if p.askUnknown(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// askUnknown asks all peers that have not told yet which permits of this entry they
// hold, and reports whether all have told now.
func (p *permits) askUnknown(ctx context.Context) bool {
	var asks errgroup.Group
	asks.SetLimit(maxConcurrentSends)
	var missing atomic.Bool
	for _, peer := range p.peers {
		asks.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, askHeldInterval)
			defer cancel()
			p.askHeld(ctx, peer.Name)
			if p.limits.MustAskHeld(peer.Name, time.Time{}) {
				missing.Store(true)
			}
			return nil
		})
	}
	_ = asks.Wait() // no error
	return !missing.Load()
}

// askHeld asks a peer which permits of this entry it holds, if there may be any.
func (p *permits) askHeld(ctx context.Context, peer string) {
	askedAt := time.Now()
	if !p.limits.MustAskHeld(peer, askedAt.Add(-minRoundTime)) {
		return
	}
	var held wire.HeldPermits
	request := &wire.HeldPermitsRequest{Node: p.name}
	if err := p.exchange(ctx, peer, &wire.Open{Purpose: &wire.Open_HeldPermits{HeldPermits: request}}, &held); err != nil {
		p.registry.Counter(permitAsksFailed).Inc(1)
		return
	}
	loans := make([]limits.Loan, 0, len(held.GetPermits()))
	for _, permit := range held.GetPermits() {
		loans = append(loans, limits.Loan{ID: permit.GetPermit(), Subject: permit.GetSubject(), Lender: p.name})
	}
	p.limits.ReceiveHeld(time.Now(), askedAt, peer, loans)
}

// serve answers a peer's message on permits.
func (p *permits) serve(open *wire.Open, stream *link.Stream) {
	if request := open.GetPermit(); request != nil {
		_ = stream.Send(&wire.PermitAnswer{Lent: p.lend(request)}) // the peer asks another
	}
	if back := open.GetPermitReturn(); back != nil {
		p.limits.TakeBack(back.GetNode(), back.GetPermit())
	}
	if request := open.GetHeldPermits(); request != nil {
		held := &wire.HeldPermits{}
		for _, loan := range p.limits.BorrowedFrom(request.GetNode()) {
			held.Permits = append(held.Permits, &wire.HeldPermit{Permit: loan.ID, Subject: loan.Subject})
		}
		_ = stream.Send(held) // the peer asks again
	}
}

// lend lends a peer a permit, if this entry's part of the limit has one to spare.
func (p *permits) lend(request *wire.PermitRequest) bool {
	subject, found := p.subject(request.GetSubject())
	if !found || !p.limits.Lend(time.Now(), request.GetNode(), request.GetPermit(), subject) {
		return false
	}
	p.registry.Counter(permitsLent).Inc(1)
	return true
}

// subject returns the team or account with a subject's name, by the settings in force.
func (p *permits) subject(name string) (limits.Subject, bool) {
	cat := p.catalog()
	if cat == nil {
		return limits.Subject{}, false
	}
	teamName, accountName := limits.SplitSubject(name)
	if accountName == "" {
		team, found := cat.Teams[teamName]
		return limits.TeamSubject(teamName, team.Limits), found
	}
	account, found := cat.AccountOf(teamName, accountName)
	if !found {
		return limits.Subject{}, false
	}
	return limits.AccountSubject(teamName, accountName, account.Limits), true
}
