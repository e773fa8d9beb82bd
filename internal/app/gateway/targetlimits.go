package gateway

import (
	"time"

	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/core/targetlimit"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
)

// targetLimits keeps the requests of all gateways to a target within the rate that the
// target names in its answers.
type targetLimits struct {
	table *targetlimit.Table
	peers *peers
	log   *eventlog.Log
	sent  chan struct{} // receives when a request was sent to a target that names a limit
}

func newTargetLimits(peers *peers, log *eventlog.Log) *targetLimits {
	return &targetLimits{table: targetlimit.NewTable(), peers: peers, log: log, sent: make(chan struct{}, 1)}
}

// observe records the limit that an answer names. A rejection without a limit says nothing
// of it: another target or a queue may have rejected the request.
func (l *targetLimits) observe(target registry.Usable, answer platform.TargetAnswer) {
	if answer.Limit == 0 && (answer.NotRun || !answer.Signed) {
		return
	}
	if l.table.Observe(incarnationHash(target), answer.Limit, time.Now()) {
		l.log.State("limit of a target", eventlog.Fields{"target": target.ID, "per_second": answer.Limit})
	}
}

// allow reports whether a target may be sent another request now.
func (l *targetLimits) allow(target registry.Usable, now time.Time) bool {
	if l.table.Empty() {
		return true
	}
	gateways := func() targetlimit.Gateways {
		return targetlimit.Gateways{Self: l.peers.gateway.node.Name, Alive: l.peers.alive(now), Members: l.peers.allMembers()}
	}
	return l.table.Allow(incarnationHash(target), gateways, now)
}

// recordSent counts a request to a target. The peers are told at once if the target names
// a limit.
func (l *targetLimits) recordSent(target registry.Usable, now time.Time) {
	if l.table.Empty() || !l.table.RecordSent(incarnationHash(target), now) {
		return
	}
	select {
	case l.sent <- struct{}{}:
	default: // they are about to be told
	}
}

// toSend returns what the next datagram tells the peers.
func (l *targetLimits) toSend(now time.Time) []*wire.TargetLimit {
	reports := l.table.Reports(now)
	encoded := make([]*wire.TargetLimit, 0, len(reports))
	for _, r := range reports {
		encoded = append(encoded, &wire.TargetLimit{
			Target: r.Target, Limit: r.Limit, AgeMs: r.Age.Milliseconds(), Sent: uint32(r.Sent), SentShort: uint32(r.SentShort),
		})
	}
	return encoded
}

// merge records what a peer has told.
func (l *targetLimits) merge(node string, limits []*wire.TargetLimit, now time.Time) {
	reports := make([]targetlimit.Report, 0, len(limits))
	for _, limit := range limits {
		reports = append(reports, targetlimit.Report{
			Target: limit.Target, Limit: limit.Limit, Age: time.Duration(max(limit.AgeMs, 0)) * time.Millisecond,
			Sent: int(limit.Sent), SentShort: int(limit.SentShort),
		})
	}
	l.table.Merge(node, reports, now)
}
