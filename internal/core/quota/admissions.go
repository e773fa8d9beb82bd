package quota

import "time"

// admissionSpan is longer than the second of the limit, since requests do not
// all travel for the same time.
const admissionSpan = 1100 * time.Millisecond

// Admissions bounds how many requests one gateway sends to a target in a
// second. It is not safe for concurrent use.
type Admissions struct {
	sent []time.Time // in the last admissionSpan, oldest first
}

// CanSend reports whether a request may be sent under limit.
func (a *Admissions) CanSend(limit int, now time.Time) bool {
	a.expire(now)
	return len(a.sent) < limit
}

// RecordSent counts a request that is sent.
func (a *Admissions) RecordSent(now time.Time) {
	a.expire(now)
	a.sent = append(a.sent, now)
}

func (a *Admissions) expire(now time.Time) {
	expired := 0
	for expired < len(a.sent) && now.Sub(a.sent[expired]) >= admissionSpan {
		expired++
	}
	a.sent = a.sent[expired:]
}

const (
	admissionMargin = 0.85 // part of the limit that all gateways use together
	coldShare       = 1.3  // of what a cold target tolerates; not all gateways that are reckoned with are there
	noLimit         = 1 << 30
)

// AdmissionLimit returns the requests a second that one of a number of gateways
// may send to a target. rate is what a cold target tolerates, and factor and
// slack widen it to the limit that holds at any time; a rate of 0 sets none.
func AdmissionLimit(rate, factor, slack float64, gateways int, cold bool) int {
	if rate <= 0 {
		return noLimit
	}
	limit := (rate*factor + slack) * admissionMargin
	if cold {
		limit = min(limit, rate*coldShare)
	}
	return max(1, int(limit/float64(max(gateways, 1))))
}
