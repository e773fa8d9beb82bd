package callerhttp

import (
	"context"
	"time"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/dispatch"
)

// Tables provides the routing table in force.
type Tables interface {
	// Table returns the table, or nil before there is any.
	Table() *routing.Table
}

// Dispatcher runs requests on targets. See dispatch.Dispatcher.
type Dispatcher interface {
	Do(ctx context.Context, table *routing.Table, req *dispatch.Request, out dispatch.StreamWriter) (*dispatch.Answer, error)
}

// Refusal states which limit refuses a request and when to retry.
type Refusal struct {
	Code       string
	RetryAfter time.Duration
}

// Outcome describes how an admitted request ended.
type Outcome struct {
	Code   string // CodeOK or the code of the failure
	Tokens int64  // number of tokens generated
	Queued bool   // whether other requests waited at the target when this one ended
}

// Demand describes what a request needs from the targets.
type Demand struct {
	Kind  schema.TargetKind
	Name  string // of the model or service
	Class schema.Class
}

// Limiter enforces the limits and shares of teams and accounts.
type Limiter interface {
	// Admit adds a request to those in progress, or returns why it is refused.
	// The caller calls release once, when the request has ended.
	Admit(cat *catalog.Catalog, account *catalog.Account, demand Demand) (release func(Outcome), refusal *Refusal)
}

// Observation holds the measurements of one request.
type Observation struct {
	Team       string
	Account    string
	Class      schema.Class
	Code       string // CodeOK or the code of the failure
	Latency    time.Duration
	FirstToken time.Duration // streams only
	Tokens     int64
}

// CodeOK is the code of a request that got a complete answer.
const CodeOK = "ok"

// Recorder records measurements.
type Recorder interface {
	// Finished records a request that has ended.
	Finished(Observation)
	// BetweenTokens records the time between two consecutive pieces of a stream.
	BetweenTokens(team string, class schema.Class, d time.Duration)
}
