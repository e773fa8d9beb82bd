package fleet

import (
	"strings"
	"time"
)

// Kind says whether a route's requests may be repeated, and whether they are answered
// by a stream.
type Kind int

// Kinds of route.
const (
	NonIdempotent Kind = iota // runs at most once for each request
	Idempotent                // may be repeated
	Stream                    // answered by a stream of events
)

func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "non_idempotent"
}

// Share is the fraction of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64
}

// Route says which requests go to which service, and within which limits.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string
	Kind             Kind
	Timeout          time.Duration // longest time that a caller is kept waiting; 0: no limit
	LatencyObjective time.Duration // time to the answer, or to the first event
	EventGap         time.Duration // latency objective: longest pause between events
	Priority         int           // 0 is the most urgent
	Shares           []Share
	MaxAttempts      int  // number of targets that one request may be sent to
	Anonymous        bool // requests need no API key
	Resumable        bool // a stream may be resumed at another target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service picks the service for a request by the weights of the shares. random is
// uniform in [0, 1).
func (r *Route) Service(random float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	random *= total
	for _, share := range r.Shares {
		if random < share.Weight {
			return share.Service
		}
		random -= share.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engine of a service's targets.
type Engine struct {
	Slots   int // number of requests that run at once
	Sets    int // number of sets of layers with experts; 0: no expert map
	Experts int // number of experts in each set
	Places  int // experts of each set that a rank can hold
	Spare   int // experts of each set that a rank can load in one change
}

// Service is a group of interchangeable targets.
type Service struct {
	Name           string
	MaxConnections int           // connections that each target accepts
	ColdPeriod     time.Duration // time after a start in which a target is cold; 0: targets are never cold
	ColdRate       float64       // requests per second that a cold target tolerates
	CheckPath      string        // where each target answers whether it is there; empty: unknown
	Engine         *Engine       // nil for plain services
}

// Account is a client account.
type Account struct {
	Name     string
	Priority int // 0 is the most urgent; negative: the route's priority applies
}

// Limits are the limits on what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Settings is one version of the settings that the operators have written.
type Settings struct {
	Version      int64
	Services     map[string]*Service
	Limits       Limits
	accounts     map[string]*Account // by API key
	keysRequired bool
	routes       map[string][]*Route // by host
}

// NewSettings returns settings with the routes indexed by host. accounts are by API
// key. If keysRequired is set, requests need a key, except on anonymous routes.
func NewSettings(version int64, routes []*Route, services map[string]*Service, accounts map[string]*Account, keysRequired bool, limits Limits) *Settings {
	s := &Settings{Version: version, Services: services, Limits: limits, accounts: accounts, keysRequired: keysRequired}
	s.routes = make(map[string][]*Route)
	for _, route := range routes {
		s.routes[route.Host] = append(s.routes[route.Host], route)
	}
	return s
}

// Match returns the host's route with the longest path prefix that matches path, or
// nil if none matches.
func (s *Settings) Match(host, path string) *Route {
	var best *Route
	for _, route := range s.routes[host] {
		if !strings.HasPrefix(path, route.PathPrefix) {
			continue
		}
		if best == nil || len(route.PathPrefix) > len(best.PathPrefix) {
			best = route
		}
	}
	return best
}

// Authorize returns the account that has the API key. A request without an account's
// key gets an account without a name if the route is anonymous or the settings
// require no keys; otherwise Authorize reports false.
func (s *Settings) Authorize(route *Route, key string) (*Account, bool) {
	if account := s.accounts[key]; account != nil {
		return account, true
	}
	if !s.keysRequired || route.Anonymous {
		return &Account{Priority: -1}, true // negative: the route's priority applies
	}
	return nil, false
}
