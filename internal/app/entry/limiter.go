package entry

import (
	"time"

	"quetzalbend/internal/adapter/callerhttp"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/limits"
)

// limiter holds the limits of teams and accounts for the callers' HTTP.
type limiter struct {
	limits *limits.Limiter
}

// Admit implements callerhttp.Limiter.
func (l limiter) Admit(cat *catalog.Catalog, account *catalog.Account) (func(tokens int64), *callerhttp.Refusal) {
	grant, refusal := l.limits.Admit(
		time.Now(),
		limits.TeamSubject(account.Team, cat.Teams[account.Team].Limits),
		limits.AccountSubject(account.Team, account.Name, account.Limits),
	)
	if refusal != nil {
		return nil, &callerhttp.Refusal{Code: string(refusal.Code), RetryAfter: refusal.RetryAfter}
	}
	return func(tokens int64) { grant.Release(time.Now(), tokens) }, nil
}
