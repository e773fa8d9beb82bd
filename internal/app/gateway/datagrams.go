package gateway

import (
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/pause"
	"quetzalbend/internal/wire"
)

// changeRepeat is how long what has changed is sent repeatedly, since datagrams may be
// lost.
const changeRepeat = 300 * time.Millisecond

// sender makes this gateway's datagrams.
type sender struct {
	peers    *peers
	sequence int64
	idle     bool // no requests ran at the last datagram
	lastSent time.Time
	lastRead *wire.ReadState
}

// send reports to the other gateways how many requests this one has at each target,
// how far it has read the store, its new strikes and crashes, and what it has sent to
// targets that name a limit. It sends every loadInterval while requests run or the read
// position advances, at once when a request was sent to a target that names a limit, and
// otherwise every idleInterval.
func (p *peers) send(ctx context.Context) error {
	s := &sender{peers: p, lastRead: &wire.ReadState{}}
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.sendIfDue(time.Now())
		case <-p.gateway.limits.sent:
			s.send(time.Now())
		}
	}
}

// sendIfDue sends a datagram, unless nothing has changed and the last one was sent
// recently.
func (s *sender) sendIfDue(now time.Time) {
	read := s.peers.gateway.state.ReadState()
	advanced := read.SettingsNext != s.lastRead.SettingsNext || read.TargetsChanged != s.lastRead.TargetsChanged ||
		read.SettingsEra != s.lastRead.SettingsEra || read.TargetsEra != s.lastRead.TargetsEra
	if s.idle && !advanced && now.Sub(s.lastSent) < idleInterval && !s.peers.gateway.loads.inUse() {
		return
	}
	s.send(now)
}

func (s *sender) send(now time.Time) {
	g := s.peers.gateway
	changedSince := s.lastSent.Add(-changeRepeat)
	loads := g.loads.ownRequests(now)
	s.idle, s.lastSent, s.lastRead = len(loads) == 0, now, g.state.ReadState()
	s.sequence++
	s.peers.sendAll(&wire.NodeLoad{
		Node:           g.node.Name,
		ControlAddress: g.node.ControlAddress,
		Incarnation:    s.peers.started.UnixNano(),
		Sequence:       s.sequence,
		Loads:          loads,
		Domain:         g.node.Domain,
		Read:           s.lastRead,
		Strikes:        s.peers.strikesSince(changedSince, now),
		PartCrashes:    g.poison.toSend(changedSince, now),
		Limits:         g.limits.toSend(now),
		ListsGateways:  s.peers.membersKnown(),
	})
}

// strikesSince returns this gateway's own strikes that have changed since a time.
func (p *peers) strikesSince(since, now time.Time) []*wire.RequestStrikes {
	var strikes []*wire.RequestStrikes
	for _, count := range p.gateway.strikes.CountsSince(since, now) {
		if count.Node == p.gateway.node.Name {
			strikes = append(strikes, &wire.RequestStrikes{
				Fingerprint: count.Fingerprint, Strikes: int32(count.Strikes), Cleared: int32(count.Cleared),
				AgeMs: now.Sub(count.At).Milliseconds(),
			})
		}
	}
	return strikes
}

func (p *peers) sendAll(datagram *wire.NodeLoad) {
	data, err := proto.Marshal(datagram)
	if err != nil {
		p.gateway.log.Problem("datagram not encoded", err, nil)
		return
	}
	for _, record := range p.others() {
		address, err := net.ResolveUDPAddr("udp4", record.Loads)
		if err != nil {
			p.gateway.log.Problem("invalid peer address", err, eventlog.Fields{"address": record.Loads})
			continue
		}
		if _, err := p.conn.WriteToUDP(data, address); err != nil {
			p.gateway.log.Decision("datagram not sent", eventlog.Fields{"peer": record.Loads, "error": err.Error()})
		}
	}
}

func (p *peers) receive(ctx context.Context) error {
	buffer := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		n, from, err := p.conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				p.gateway.log.Decision("datagram not received", eventlog.Fields{"error": err.Error()})
				pause.For(ctx, loadInterval)
			}
			continue
		}
		datagram := &wire.NodeLoad{}
		if err := proto.Unmarshal(buffer[:n], datagram); err != nil {
			p.gateway.log.Decision("invalid datagram", eventlog.Fields{"error": err.Error()})
			continue
		}
		now := time.Now()
		p.gateway.loads.received(datagram, now)
		p.mergeStrikes(datagram, now)
		p.gateway.poison.merge(datagram.PartCrashes, now)
		p.gateway.limits.merge(datagram.Node, datagram.Limits, now)
		p.recordReader(datagram, now)
		p.recordNode(datagram, from, now)
	}
	return nil
}

func (p *peers) mergeStrikes(datagram *wire.NodeLoad, now time.Time) {
	counts := make([]strike.Count, 0, len(datagram.Strikes))
	for _, s := range datagram.Strikes {
		counts = append(counts, strike.Count{
			Fingerprint: s.Fingerprint, Node: datagram.Node, Strikes: int(s.Strikes), Cleared: int(s.Cleared),
			At: now.Add(-time.Duration(s.AgeMs) * time.Millisecond),
		})
	}
	if len(counts) > 0 {
		p.gateway.strikes.Merge(counts, now)
	}
}
