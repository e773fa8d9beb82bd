package maplead

import (
	"time"

	"quetzalbend/internal/core/mapchange"
	"quetzalbend/internal/eventlog"
	"quetzalbend/platform"
)

// progress is when a change reached each of its phases, for the log.
type progress struct {
	planned    time.Time
	held       time.Time // when the first hold was accepted; zero: not yet
	released   time.Time // when the last release was accepted; zero: not yet
	unanswered int       // orders without an answer
}

// fields returns the duration of each phase that is complete.
func (p *progress) fields(now time.Time) eventlog.Fields {
	fields := eventlog.Fields{"ms": now.Sub(p.planned).Milliseconds(), "unanswered": p.unanswered}
	if !p.held.IsZero() {
		fields["prepared_ms"] = p.held.Sub(p.planned).Milliseconds()
		if p.released.After(p.held) {
			fields["held_ms"] = p.released.Sub(p.held).Milliseconds()
		}
	}
	return fields
}

// record records the outcome of an order.
func (p *progress) record(operation mapchange.Operation, answer platform.OrderAnswer, now time.Time) {
	switch {
	case answer == platform.OrderUnknown:
		p.unanswered++
	case answer != platform.OrderAccepted:
	case operation == mapchange.Hold && p.held.IsZero():
		p.held = now
	case operation == mapchange.Release:
		p.released = now
	}
}
