package entry

import (
	"fmt"
	"sync"
	"time"

	"quetzalbend/internal/adapter/callerhttp"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/dispatch"
	"quetzalbend/internal/metrics"
)

// recorder updates the metrics with the measurements of requests.
type recorder struct {
	metrics *metrics.Registry

	mu    sync.Mutex
	codes map[string]bool // of failed attempts, each with its own counter
}

func newRecorder(registry *metrics.Registry) *recorder {
	return &recorder{metrics: registry, codes: make(map[string]bool)}
}

// Finished implements callerhttp.Recorder.
func (r *recorder) Finished(o callerhttp.Observation) {
	key := metrics.Key{Team: o.Team, Class: o.Class}
	if o.Code != callerhttp.CodeOK {
		r.metrics.Refused(o.Code, key)
		return
	}
	r.metrics.Counter("answers_total").Inc(1)
	r.metrics.Observe(metrics.Latency, key, o.Latency)
	if o.FirstToken > 0 {
		r.metrics.Observe(metrics.FirstToken, key, o.FirstToken)
	}
}

// BetweenTokens implements callerhttp.Recorder.
func (r *recorder) BetweenTokens(team string, class schema.Class, d time.Duration) {
	r.metrics.Observe(metrics.BetweenTokens, metrics.Key{Team: team, Class: class}, d)
}

// Count implements dispatch.Counter.
func (r *recorder) Count(event dispatch.Event) {
	r.metrics.Counter("dispatch_" + string(event) + "_total").Inc(1)
}

// maxCodes limits the counters of failed attempts by code; further codes share the
// counter of otherCode.
const (
	maxCodes  = 64
	otherCode = "other"
)

// CountFailedAttempt implements dispatch.Counter.
func (r *recorder) CountFailedAttempt(code string) {
	r.metrics.Counter(fmt.Sprintf("dispatch_failed_attempts_total{code=%q}", r.counterCode(code))).Inc(1)
}

// counterCode returns code if it has a counter of its own or can get one, and
// otherCode if not.
func (r *recorder) counterCode(code string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.codes[code] {
		return code
	}
	if len(r.codes) == maxCodes {
		return otherCode
	}
	r.codes[code] = true
	return code
}
