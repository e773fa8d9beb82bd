package schema

import "strings"

// AdminState is the state that operators set for a failure domain or target: whether
// it gets new work.
type AdminState string

// Values of AdminState.
const (
	In  AdminState = "in"  // gets new work
	Out AdminState = "out" // gets no new work; running work finishes
)

// Class is a priority class of requests. Durations are measured for each class.
type Class string

// Classes, most urgent first.
const (
	Certificate Class = "certificate" // highest priority
	Interactive Class = "interactive" // default of workloads and routes
	Batch       Class = "batch"       // paced by the team's credits; leaves part of each target to the other classes
)

// TargetKind says what runs on a target.
type TargetKind string

// Kinds of target.
const (
	ModelTarget   TargetKind = "model"
	ServiceTarget TargetKind = "service"
)

// Domain is a failure domain.
type Domain struct {
	State  AdminState `json:"state"`            // default in
	Region string     `json:"region,omitempty"` // name of the region, default none
}

// Operator is a person or program that writes settings.
type Operator struct {
	TokenSHA256 string `json:"token_sha256"` // hex of the bearer token's SHA-256
	Subtree     string `json:"subtree"`      // path below which it may write; "/" for all paths
}

// Target is one model replica, rank or plain service behind its agent.
type Target struct {
	Agent         string     `json:"agent"` // IP address and port of the agent
	FailureDomain string     `json:"failure_domain"`
	Kind          TargetKind `json:"kind"`
	Team          string     `json:"team,omitempty"`  // team whose model or service it serves
	Serves        []string   `json:"serves"`          // names of models or of one service
	State         AdminState `json:"state"`           // default in
	ColdLimit     int        `json:"cold_limit"`      // concurrent requests while the target is cold, 1 to 10000, default 2
	MaxLimit      int        `json:"max_limit"`       // highest number of concurrent requests, 1 to 10000, default 64
	Queue         int        `json:"queue,omitempty"` // requests that may wait at the agent, 0 to 10000, default 0
	ChecksFencing bool       `json:"checks_fencing"`  // whether the engine refuses old fencing tokens
	VM            string     `json:"vm,omitempty"`    // name in the platform's list of VMs
}

// Group is a group of ranks that advance in lock-step on one expert map.
type Group struct {
	Ranks        []string `json:"ranks"` // target of each rank, in rank order
	Layers       int      `json:"layers"`
	Experts      int      `json:"experts"`        // experts in each layer
	SlotsPerRank int      `json:"slots_per_rank"` // expert slots of a rank in each layer
}

// Limits bound what a team or an account may use over all entries together.
// Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"` // generated tokens
	Concurrent        int     `json:"concurrent,omitempty"`
}

// Credits are a team's provider credits, which expire. Batch work is paced so
// that the tokens that the team generates, in all classes together, use the
// credits up by the time they expire.
type Credits struct {
	Tokens  int64  `json:"tokens"`  // generated tokens that the credits still paid for at the time AsOf
	AsOf    string `json:"as_of"`   // RFC 3339 time
	Expires string `json:"expires"` // RFC 3339 time
}

// Team owns a subtree of settings.
type Team struct {
	Share   float64  `json:"share"` // weight among teams when capacity is short, default 1
	Limits  Limits   `json:"limits"`
	Credits *Credits `json:"credits,omitempty"`
}

// Account is a client account of a team.
type Account struct {
	TokenSHA256 string `json:"token_sha256"` // hex of the bearer token's SHA-256
	Limits      Limits `json:"limits"`
	Class       Class  `json:"class,omitempty"` // most urgent class it may use, default that of the workload
}

// Model is a model with its versions and adapters.
type Model struct {
	Versions []string `json:"versions"`
	Adapters []string `json:"adapters,omitempty"`
}

// Workload says which model, version and adapter serve one kind of request. The
// "model" field of a caller's chat completion holds the workload's name.
type Workload struct {
	Model     string `json:"model"`
	Version   string `json:"version,omitempty"`
	Adapter   string `json:"adapter,omitempty"`
	Class     Class  `json:"class"`      // default interactive
	TimeoutMS int64  `json:"timeout_ms"` // 100 to 600000, default 60000
	Group     string `json:"group,omitempty"`
}

// Service is a plain service with its routes.
type Service struct {
	Routes      []Route `json:"routes"`        // the first matching route applies; calls without a match are refused
	TimeoutMS   int64   `json:"timeout_ms"`    // 100 to 600000, default 10000
	KeyWindowMS int64   `json:"key_window_ms"` // how long an idempotency key is remembered, 60000 to 86400000, default 3600000
}

// Route describes the calls of a service with one method and path prefix.
type Route struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	Idempotent bool   `json:"idempotent"` // whether the call may be repeated
	Class      Class  `json:"class"`      // default interactive
}

// Matches reports whether the route applies to a method and a path, which has
// no query. The prefix matches whole segments of the path.
func (r *Route) Matches(method, path string) bool {
	rest, under := strings.CutPrefix(path, strings.TrimSuffix(r.PathPrefix, "/"))
	return r.Method == method && under && (rest == "" || rest[0] == '/')
}
