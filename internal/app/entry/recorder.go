package entry

import (
	"time"

	"quetzalbend/internal/adapter/callerhttp"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/metrics"
)

// recorder writes the measurements of requests to the metrics.
type recorder struct {
	metrics *metrics.Registry
}

// Finished implements callerhttp.Recorder.
func (r recorder) Finished(o callerhttp.Observation) {
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
func (r recorder) BetweenTokens(team string, class schema.Class, d time.Duration) {
	r.metrics.Observe(metrics.BetweenTokens, metrics.Key{Team: team, Class: class}, d)
}

// Count implements dispatch.Counter.
func (r recorder) Count(event string) {
	r.metrics.Counter("dispatch_" + event + "_total").Inc(1)
}
