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

// recorder writes the measurements of requests to the metrics.
type recorder struct {
	metrics *metrics.Registry

	mu    sync.Mutex
	codes map[string]bool // of failed attempts, counted so far
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

// maxCodes bounds the counters of failed attempts; further codes count as one.
const (
	maxCodes  = 64
	otherCode = "other"
)

// CountFailedAttempt implements dispatch.Counter.
func (r *recorder) CountFailedAttempt(code string) {
	r.metrics.Counter(fmt.Sprintf("dispatch_failed_attempts_total{code=%q}", r.knownCode(code))).Inc(1)
}

func (r *recorder) knownCode(code string) string {
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
