package quota

import "time"

// admissionWindow is longer than the one second that a limit applies to, since the
// time from the gateway to the target differs between requests.
const admissionWindow = 1100 * time.Millisecond

// Admissions limits how many requests one gateway sends to a target in a
// second. It is not safe for concurrent use.
type Admissions struct {
	sent []time.Time // when requests were sent in the last admissionWindow, oldest first
}

// CanSend reports whether another request may be sent now under a limit per second.
func (a *Admissions) CanSend(limit int, now time.Time) bool {
	a.expire(now)
	return len(a.sent) < limit
}

// RecordSent counts a request that is sent now.
func (a *Admissions) RecordSent(now time.Time) {
	a.expire(now)
	a.sent = append(a.sent, now)
}

func (a *Admissions) expire(now time.Time) {
	expired := 0
	for expired < len(a.sent) && now.Sub(a.sent[expired]) >= admissionWindow {
		expired++
	}
	a.sent = a.sent[expired:]
}

const (
	admissionFraction = 0.85 // fraction of the limit that all gateways together use
	coldRateFactor    = 1.3  // factor on a cold target's rate; above 1, since AdmissionLimit divides the rate by more gateways than run
	noLimit           = 1 << 30
)

// AdmissionLimit returns the requests per second that each of the gateways may
// send to a target. rate is what a cold target tolerates; rate*factor + slack is
// the limit for all gateways together, whether the target is cold or not. A rate of 0
// sets no limit.
func AdmissionLimit(rate, factor, slack float64, gateways int, cold bool) int {
	if rate <= 0 {
		return noLimit
	}
	limit := (rate*factor + slack) * admissionFraction
	if cold {
		limit = min(limit, rate*coldRateFactor)
	}
	return max(1, int(limit/float64(max(gateways, 1))))
}
