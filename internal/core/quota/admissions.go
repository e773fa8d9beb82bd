package quota

import (
	"slices"
	"time"

	"quetzalbend/internal/core/share"
)

// AdmissionWindow is the time for which a request counts after it was sent: the second that
// a limit applies to, and a margin for clocks.
const AdmissionWindow = 1025 * time.Millisecond

// Admissions limits how many requests one gateway sends to a target in a
// second. It is not safe for concurrent use.
type Admissions struct {
	pending int         // admitted requests that have not been sent
	sent    []time.Time // when requests were sent in the last AdmissionWindow, or are sent at the latest; oldest first
}

// CanSend reports whether another request may be sent now under a limit per second.
func (a *Admissions) CanSend(limit int, now time.Time) bool {
	a.expire(now)
	return a.pending+len(a.sent) < limit
}

// Admit counts a request that is about to be sent. It counts until RecordAdmittedSent or
// Cancel ends that, however long the request takes to leave.
func (a *Admissions) Admit() { a.pending++ }

// RecordAdmittedSent records that an admitted request is sent now.
func (a *Admissions) RecordAdmittedSent(now time.Time) {
	a.pending--
	a.RecordSent(now)
}

// Cancel records that an admitted request will not be sent.
func (a *Admissions) Cancel() { a.pending-- }

// RecordSent counts a request that is sent at a time, which may lie ahead.
func (a *Admissions) RecordSent(at time.Time) {
	i, _ := slices.BinarySearchFunc(a.sent, at, time.Time.Compare)
	a.sent = slices.Insert(a.sent, i, at)
}

// Wait returns how long it takes until another request may be sent under a limit, if those
// that are pending are sent now. A limit of 0 or less allows none ever; Wait then returns
// AdmissionWindow.
func (a *Admissions) Wait(limit int, now time.Time) time.Duration {
	a.expire(now)
	free := limit - a.pending
	switch {
	case free <= 0:
		return AdmissionWindow
	case len(a.sent) < free:
		return 0
	}
	return a.sent[len(a.sent)-free].Add(AdmissionWindow).Sub(now)
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
