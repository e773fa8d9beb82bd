package gateway

import (
	"time"

	"quetzalbend/internal/core/fleet"
)

// stoppingRefusal is the reason of a refusal where a request may not end before the process.
const stoppingRefusal = "stopping"

// endsBeforeStop reports whether the request may be sent to a target now: it came early in a
// drain, or its deadline ends before the process does.
func (x *exchange) endsBeforeStop() bool {
	g := x.gateway
	if x.route.Kind == fleet.Stream {
		return g.drain.TakesWithin(ofGrace(g.node.GracePeriod, streamAcceptPeriod), time.Now(), x.deadline)
	}
	return g.drain.Takes(time.Now(), x.deadline)
}

// endedByStop reports whether a drain forbids another attempt. What may not be repeated and
// has not run may run elsewhere, if it is not sent late in the drain.
func (x *exchange) endedByStop() bool {
	again := x.attempts+x.dials > 0
	return x.gateway.drain.Over() || again && !x.route.Repeatable() && !x.endsBeforeStop()
}

// closeWhileStopping asks the caller to connect elsewhere for its next request.
func (x *exchange) closeWhileStopping() {
	if x.gateway.drain.Started() {
		x.writer.Header().Set("Connection", "close")
	}
}
