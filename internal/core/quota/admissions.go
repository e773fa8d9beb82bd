package quota

import (
	"time"

	"quetzalbend/internal/core/share"
)

// AdmissionWindow is the time over which admissions are counted. It is longer than the one
// second that a limit applies to, since the time from the gateway to the target differs
// between requests.
const AdmissionWindow = 1100 * time.Millisecond

// Admissions limits how many requests one gateway sends to a target in a
// second. It is not safe for concurrent use.
type Admissions struct {
	sent []time.Time // when requests were sent in the last AdmissionWindow, oldest first
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

// Wait returns how long it takes until another request may be sent under a limit. A limit
// of 0 or less allows none ever; Wait then returns AdmissionWindow.
func (a *Admissions) Wait(limit int, now time.Time) time.Duration {
	a.expire(now)
	switch {
	case limit <= 0:
		return AdmissionWindow
	case len(a.sent) < limit:
		return 0
	}
	return a.sent[len(a.sent)-limit].Add(AdmissionWindow).Sub(now)
}

func (a *Admissions) expire(now time.Time) {
	expired := 0
	for expired < len(a.sent) && now.Sub(a.sent[expired]) >= AdmissionWindow {
		expired++
	}
	a.sent = a.sent[expired:]
}

const (
	admissionFraction = 0.85 // fraction of the limit that all gateways together use
	noLimit           = 1 << 30
)

// AdmissionBounds are what all gateways together may send to a target in a second.
type AdmissionBounds struct {
	Rate   float64 // requests that a cold target tolerates; 0 sets no limit
	Factor float64 // factor on Rate up to which it may be exceeded
	Slack  float64 // requests allowed beyond that
}

// all returns the requests per second that all gateways together may send to a target.
func (b AdmissionBounds) all() int { return int(b.Rate*b.Factor + b.Slack) }

// used returns how many of them are divided.
func (b AdmissionBounds) used() int {
	return max(1, int((b.Rate*b.Factor+b.Slack)*admissionFraction))
}

// Share returns the requests per second that one gateway of the given number may send to
// a target; rank is its rank among them for the target. Rate*Factor + Slack holds even if
// headroom gateways run that the others do not know of, and whether the target is known to
// be cold or not. A target that is known to be cold gets no more than Rate.
func (b AdmissionBounds) Share(gateways, headroom, rank int, cold bool) int {
	if b.Rate <= 0 {
		return noLimit
	}
	part := share.WithHeadroom(b.used(), gateways, headroom, rank)
	if cold {
		part = min(part, share.Of(max(1, int(b.Rate)), gateways, rank))
	}
	return part
}

// StartShare is like Share for a gateway that has just started. The process before it may
// have used its share within AdmissionWindow, or the others may not know it, so all gateways
// that start have only what is not divided.
func (b AdmissionBounds) StartShare(gateways, rank int) int {
	if b.Rate <= 0 {
		return noLimit
	}
	return share.Of(b.all()-b.used(), gateways, rank)
}
