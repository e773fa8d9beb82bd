package limits

import (
	"strings"
	"time"

	"quetzalbend/internal/core/schema"
)

// Resource is something that a limit bounds.
type Resource int

// Values of Resource.
const (
	Requests   Resource = iota // requests a second
	Tokens                     // generated tokens a second
	Concurrent                 // requests that run at once
	resources
)

// Amounts holds one amount of each resource.
type Amounts [resources]float64

// Subject is a team, an account or a team's credits, with limits. Zero is no
// limit.
type Subject struct {
	Name   string // "TEAM", "TEAM/ACCOUNT" or "TEAM/"
	Limits Amounts
	// BurstTime is the time over which an unused share may be saved up; 0 for a
	// second.
	BurstTime time.Duration
	// ChargeOnly means that use is charged but never refused.
	ChargeOnly bool
}

// TeamSubject returns the subject for a team.
func TeamSubject(team string, limits schema.Limits) Subject {
	return Subject{Name: team, Limits: amounts(limits)}
}

// AccountSubject returns the subject for an account of a team.
func AccountSubject(team, account string, limits schema.Limits) Subject {
	return Subject{Name: team + "/" + account, Limits: amounts(limits)}
}

// SplitSubject returns the team, and the account if it is that of an account, of a
// subject's name.
func SplitSubject(name string) (team, account string) {
	team, account, _ = strings.Cut(name, "/")
	return team, account
}

// Limited reports whether the subject has any limit.
func (s Subject) Limited() bool { return s.Limits != Amounts{} }

func amounts(limits schema.Limits) Amounts {
	return Amounts{limits.RequestsPerSecond, limits.TokensPerSecond, float64(limits.Concurrent)}
}

// Code is a stable code that names the reason of a refusal.
type Code string

// Codes of refusals.
const (
	CodeRequestRate Code = "request_rate_limit"
	CodeTokenRate   Code = "token_rate_limit"
	CodeConcurrency Code = "concurrency_limit"
	CodeCreditsPace Code = "credits_pace" // batch work only
)

var codes = [resources]Code{Requests: CodeRequestRate, Tokens: CodeTokenRate, Concurrent: CodeConcurrency}
