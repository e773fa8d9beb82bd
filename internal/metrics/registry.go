package metrics

import (
	"fmt"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"quetzalbend/internal/core/schema"
)

// Bounds of the number of series.
const (
	MaxTeams   = 256
	MaxReasons = 64
	// OtherTeam is the label of teams beyond MaxTeams.
	OtherTeam = "other"
	// OtherReason is the label of refusal reasons beyond MaxReasons.
	OtherReason = "other"
)

// Key names the team and class that a measurement belongs to. A field is empty if
// it is not known.
type Key struct {
	Team  string
	Class schema.Class
}

// Timing is a kind of duration that is measured.
type Timing int

// Kinds of duration.
const (
	Latency       Timing = iota // request received to last byte of the answer
	FirstToken                  // request received to first token
	BetweenTokens               // between two tokens of one stream
	QueueTime                   // time spent waiting for a target before the request ran
	timingCount
)

var timingNames = [timingCount]string{
	Latency:       "request_duration_seconds",
	FirstToken:    "first_token_seconds",
	BetweenTokens: "between_tokens_seconds",
	QueueTime:     "queue_time_seconds",
}

// Recorder takes the measurements made while requests are handled. All methods are
// safe for concurrent use.
type Recorder interface {
	// Observe adds one duration to the histogram of timing for key.
	Observe(timing Timing, key Key, d time.Duration)
	// Refused counts one refusal by its stable reason.
	Refused(reason string, key Key)
	// Counter returns the counter with this name; names end in _total.
	Counter(name string) gometrics.Counter
	// Gauge returns the gauge with this name.
	Gauge(name string) gometrics.Gauge
}

// Registry holds the metrics of a process. It implements Recorder.
type Registry struct {
	metrics gometrics.Registry
	now     func() time.Time

	distributions sync.Map // distributionKey to *distribution
	refusals      sync.Map // refusalKey to gometrics.Counter
	teams         boundedSet
	reasons       boundedSet
}

type distributionKey struct {
	timing Timing
	key    Key
}

type refusalKey struct {
	reason string
	key    Key
}

// New returns an empty registry.
func New() *Registry { return newRegistry(time.Now) }

func newRegistry(now func() time.Time) *Registry {
	return &Registry{
		metrics: gometrics.NewRegistry(),
		now:     now,
		teams:   boundedSet{limit: MaxTeams, other: OtherTeam},
		reasons: boundedSet{limit: MaxReasons, other: OtherReason},
	}
}

// Observe implements Recorder.
func (r *Registry) Observe(timing Timing, key Key, d time.Duration) {
	r.distribution(timing, key).observe(d, r.now())
}

func (r *Registry) distribution(timing Timing, key Key) *distribution {
	wanted := distributionKey{timing, key}
	if found, ok := r.distributions.Load(wanted); ok {
		return found.(*distribution)
	}
	wanted.key.Team = r.teams.name(key.Team)
	if found, ok := r.distributions.Load(wanted); ok {
		return found.(*distribution)
	}
	name := fmt.Sprintf("%s{%s}", timingNames[timing], labels(wanted.key))
	created := r.metrics.GetOrRegister(name, func() gometrics.Histogram { return newDistribution(r.now()) })
	found, _ := r.distributions.LoadOrStore(wanted, created)
	return found.(*distribution)
}

// Refused implements Recorder.
func (r *Registry) Refused(reason string, key Key) {
	wanted := refusalKey{reason, key}
	if found, ok := r.refusals.Load(wanted); ok {
		found.(gometrics.Counter).Inc(1)
		return
	}
	wanted.reason = r.reasons.name(reason)
	wanted.key.Team = r.teams.name(key.Team)
	name := fmt.Sprintf("refusals_total{%s,reason=%q}", labels(wanted.key), wanted.reason)
	counter := r.Counter(name)
	r.refusals.Store(wanted, counter)
	counter.Inc(1)
}

// Counter implements Recorder. The name may carry labels in braces, in the
// Prometheus text format; the caller bounds their number.
func (r *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, r.metrics)
}

// Gauge implements Recorder. See Counter for labels.
func (r *Registry) Gauge(name string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(name, r.metrics)
}

func labels(key Key) string {
	return fmt.Sprintf("team=%q,class=%q", key.Team, string(key.Class))
}

// boundedSet remembers the first limit names; other stands for all further names.
type boundedSet struct {
	limit int
	other string

	mu    sync.Mutex
	names map[string]bool
}

// name returns the name to count under: the given one, or other if the set is full
// without it.
func (s *boundedSet) name(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names[name] {
		return name
	}
	if len(s.names) == s.limit {
		return s.other
	}
	if s.names == nil {
		s.names = make(map[string]bool)
	}
	s.names[name] = true
	return name
}
