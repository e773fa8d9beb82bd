package fleet

import (
	"strings"
	"time"
)

// Kind says how a route's requests may be repeated and how they are answered.
type Kind int

// Kinds of route.
const (
	NonIdempotent Kind = iota // runs at most once for each request
	Idempotent                // may be repeated
	Stream                    // answered by a series of events
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

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64
}

// Route tells which requests go to which service, and within which bounds.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string
	Kind        Kind
	Timeout     time.Duration // longest time that a caller is kept waiting; 0: unbounded
	Objective   time.Duration // time to the answer, or to the first event
	EventGap    time.Duration // longest pause between events that is still on time
	Priority    int           // 0 is the most urgent
	Shares      []Share
	MaxAttempts int  // targets that one request may be sent to
	Anonymous   bool // needs no API key
	Resumable   bool // a stream may go on at another target
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service picks the service for a request; point is uniform in [0, 1).
func (r *Route) Service(point float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	point *= total
	for _, share := range r.Shares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engine of a service's targets.
type Engine struct {
	Slots   int // requests that run at once
	Sets    int // sets of layers with experts; 0: no expert map
	Experts int // experts in a set
	Places  int // experts that a rank can hold in a set
	Spare   int // experts of a set that a rank can load in one change
}

// Service is a group of like targets.
type Service struct {
	Name           string
	MaxConnections int           // that each target accepts
	ColdPeriod     time.Duration // after a start; 0: targets are never cold
	ColdRate       float64       // requests a second that a cold target tolerates
	Engine         *Engine       // nil for plain services
}

// Account is a client account.
type Account struct {
	Name     string
	Priority int // 0 is the most urgent; negative: the route's priority holds
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Settings is one version of the operators' settings.
type Settings struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	accounts map[string]*Account // by API key
	keyed    bool
	routes   map[string][]*Route // by host
}

// NewSettings indexes routes by host and accounts by API key. Keys are required
// if keyed is set.
func NewSettings(version int64, routes []*Route, services map[string]*Service, accounts map[string]*Account, keyed bool, limits Limits) *Settings {
	s := &Settings{Version: version, Services: services, Limits: limits, accounts: accounts, keyed: keyed}
	s.routes = make(map[string][]*Route)
	for _, route := range routes {
		s.routes[route.Host] = append(s.routes[route.Host], route)
	}
	return s
}

// Match returns the route with the longest prefix of path at host, or nil.
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

// Authorize returns the account that holds key. A request of an anonymous route
// needs none and gets an empty account.
func (s *Settings) Authorize(route *Route, key string) (*Account, bool) {
	if account := s.accounts[key]; account != nil {
		return account, true
	}
	if !s.keyed || route.Anonymous {
		return &Account{Priority: -1}, true
	}
	return nil, false
}
