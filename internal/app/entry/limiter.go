package entry

import (
	"sync"
	"time"

	"quetzalbend/internal/adapter/callerhttp"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/limits"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/dispatch"
)

// pool identifies the targets that serve one model or service. A shortage of
// capacity concerns one pool, not the whole entry.
type pool struct {
	kind schema.TargetKind
	name string
}

// limiter applies the limits of teams and accounts, and their shares while
// capacity is short, to callers' HTTP requests.
type limiter struct {
	limits  *limits.Limiter
	permits *permits // nil: none are borrowed
	gates   sync.Map // *limits.Gate by pool
}

func newLimiter(inner *limits.Limiter) *limiter { return &limiter{limits: inner} }

// gate returns the gate of a pool, which it creates on first use.
func (l *limiter) gate(of pool) *limits.Gate {
	if found, ok := l.gates.Load(of); ok {
		return found.(*limits.Gate)
	}
	found, _ := l.gates.LoadOrStore(of, limits.NewGate())
	return found.(*limits.Gate)
}

// Admit implements callerhttp.Limiter.
func (l *limiter) Admit(cat *catalog.Catalog, account *catalog.Account, demand callerhttp.Demand) (func(callerhttp.Outcome), *callerhttp.Refusal) {
	team := cat.Teams[account.Team]
	admit := func(loans ...limits.Loan) (*limits.Grant, *limits.Refusal) {
		now := time.Now()
		return l.limits.Admit(
			now,
			limits.AccountSubject(account.Team, account.Name, account.Limits),
			limits.TeamSubject(account.Team, team.Limits),
			limits.CreditsSubject(account.Team, team.Credits, demand.Class, now),
			loans...,
		)
	}
	grant, refusal := admit()
	if refusal != nil && l.permits != nil {
		grant, refusal = l.permits.admit(refusal, admit)
	}
	if refusal != nil {
		return nil, callerRefusal(refusal)
	}
	work := limits.Work{Team: account.Team, Share: team.Share, Account: account.Name, Class: demand.Class}
	ticket, refusal := l.gate(pool{demand.Kind, demand.Name}).Enter(time.Now(), work)
	if refusal != nil {
		grant.Cancel()
		l.giveBack(grant)
		return nil, callerRefusal(refusal)
	}
	return func(outcome callerhttp.Outcome) {
		now := time.Now()
		ticket.Leave(now, shortageOf(outcome))
		grant.Release(now, outcome.Tokens)
		l.giveBack(grant)
	}, nil
}

// giveBack gives back the permits with which a request ran that has ended.
func (l *limiter) giveBack(grant *limits.Grant) {
	if l.permits != nil {
		l.permits.giveBack(grant.Loans())
	}
}

// shortageOf returns the shortage of capacity that an outcome shows.
func shortageOf(outcome callerhttp.Outcome) limits.Shortage {
	switch {
	case dispatch.NoCapacity(outcome.Code):
		return limits.Refused
	case outcome.Queued:
		return limits.Queued
	}
	return limits.NoShortage
}

func callerRefusal(refusal *limits.Refusal) *callerhttp.Refusal {
	return &callerhttp.Refusal{Code: string(refusal.Code), RetryAfter: refusal.RetryAfter}
}
