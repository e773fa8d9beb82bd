package callerhttp

import (
	"context"
	"time"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/dispatch"
)

// Tables gives the routing table in force, or nil before there is any.
type Tables interface {
	Table() *routing.Table
}

// Dispatcher runs requests on targets. See dispatch.Dispatcher.
type Dispatcher interface {
	Do(ctx context.Context, table *routing.Table, req *dispatch.Request, out dispatch.StreamWriter) (*dispatch.Answer, error)
}

// Refusal says why a limit refuses a request.
type Refusal struct {
	Code       string
	RetryAfter time.Duration
}

// Outcome is how a request that was admitted ended.
type Outcome struct {
	Code   string // CodeOK or the code of the failure
	Tokens int64  // generated
	Queued bool   // others waited at the target when this request ended
}

// Demand is what a request asks for.
type Demand struct {
	Kind  schema.TargetKind
	Name  string // of the model or service
	Class schema.Class
}

// Limiter holds the limits and shares of teams and accounts.
type Limiter interface {
	// Admit counts a request in, or returns why not. The release, called once,
	// counts it out again.
	Admit(cat *catalog.Catalog, account *catalog.Account, demand Demand) (release func(Outcome), refusal *Refusal)
}

// Observation is what is measured of one request.
type Observation struct {
	Team       string
	Account    string
	Class      schema.Class
	Code       string // CodeOK or the code of the failure
	Latency    time.Duration
	FirstToken time.Duration // streams only
	Tokens     int64
}

// CodeOK is the code of a request that got a whole answer.
const CodeOK = "ok"

// Recorder takes measurements.
type Recorder interface {
	Finished(Observation)
	// BetweenTokens records the time between two pieces of a stream.
	BetweenTokens(team string, class schema.Class, d time.Duration)
}
