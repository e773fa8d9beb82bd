package gateway

import (
	"math/rand/v2"
	"time"

	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/core/rest"
	"quetzalbend/internal/eventlog"
	"quetzalbend/platform"
)

// maxRestSpread is the time over which callers are spread that are to come back at the end
// of a rest.
const maxRestSpread = 500 * time.Millisecond

// targetRests keeps requests away from targets that have asked this gateway for a rest.
type targetRests struct {
	table *rest.Table
	log   *eventlog.Log
}

func newTargetRests(log *eventlog.Log) *targetRests {
	return &targetRests{table: rest.NewTable(), log: log}
}

// observe records what an answer of a target says of a rest.
func (r *targetRests) observe(target registry.Usable, answer platform.TargetAnswer, now time.Time) {
	if answer.Rest == 0 && r.table.Empty() {
		return
	}
	incarnation := incarnationHash(target)
	if answer.Rest == 0 {
		r.table.RecordServed(incarnation, now)
		return
	}
	if r.table.Ask(incarnation, answer.Rest, now) {
		r.log.State("target asks for rest", eventlog.Fields{"target": target.ID, "ms": answer.Rest.Milliseconds()})
	}
}

// unanswered records that an attempt at a target ended without an answer.
func (r *targetRests) unanswered(target registry.Usable) {
	if !r.table.Empty() {
		r.table.RecordUnanswered(incarnationHash(target))
	}
}

// allow reports whether a target may be sent a request now.
func (r *targetRests) allow(target registry.Usable, now time.Time) bool {
	return r.table.Empty() || r.table.Allow(incarnationHash(target), now)
}

// recordSent records that a target is sent a request.
func (r *targetRests) recordSent(target registry.Usable, now time.Time) {
	if !r.table.Empty() {
		r.table.RecordSent(incarnationHash(target), now)
	}
}

// allResting returns when the first of the targets is out of rest. It reports false if one
// of them is not at rest.
func (r *targetRests) allResting(targets []registry.Usable, now time.Time) (time.Duration, bool) {
	if r.table.Empty() || len(targets) == 0 {
		return 0, false
	}
	shortest := time.Duration(0)
	for i, target := range targets {
		remaining := r.table.Remaining(incarnationHash(target), now)
		if remaining == 0 {
			return 0, false
		}
		if i == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest, true
}

// spread returns a time to come back at the end of a rest, or a little later.
func spread(remaining time.Duration) time.Duration {
	return remaining + rand.N(maxRestSpread)
}
