package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"quetzalbend/internal/core/quota"
	"quetzalbend/internal/core/rendezvous"
	"quetzalbend/internal/core/share"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
)

const (
	// memberLifetime is the time without a sign of life after which a gateway no longer
	// has a share of common limits. One that is cut off that long still uses its share, so
	// it is longer than regions lose each other.
	memberLifetime  = 2 * time.Hour
	gatewayHeadroom = 3 // gateways that may be running though this one has not heard of them
	// joinWait is the time in which all others have heard of a new gateway, and what they
	// sent before no longer counts.
	joinWait = quota.AdmissionWindow + idleInterval
)

// membership is the set of gateways among which common limits are divided. Unlike
// peers.nodes it keeps those that are silent: they may be cut off and go on sending. The
// lock of peers guards it.
type membership struct {
	self       string
	started    time.Time
	announced  time.Time // when this gateway's first announcement ended; zero: not yet
	registered bool      // a process of this name ran before this one, so the others know it
	listed     bool      // the records of the gateways have been read, from the store or a peer
	lastSign   map[string]time.Time
	divided    *share.Members // of lastSign and self; nil: to be made
}

func newMembership(self string, started time.Time) membership {
	return membership{self: self, started: started, lastSign: make(map[string]time.Time)}
}

// add records a sign of life of a gateway.
func (m *membership) add(name string, at time.Time) {
	last, known := m.lastSign[name]
	if !known {
		m.divided = nil
	}
	if at.After(last) {
		m.lastSign[name] = at
	}
}

// recordList records that all records of gateways have been added.
func (m *membership) recordList(now time.Time) {
	if !m.listed {
		m.listed = true
		_, m.registered = m.lastSign[m.self]
	}
	before := len(m.lastSign)
	maps.DeleteFunc(m.lastSign, func(_ string, at time.Time) bool { return now.Sub(at) > memberLifetime })
	if len(m.lastSign) != before {
		m.divided = nil
	}
}

// members returns the gateways among which limits are divided, nil if they are not known.
func (m *membership) members() *share.Members {
	if !m.listed {
		return nil
	}
	if m.divided == nil {
		m.divided = share.NewMembers(m.self, m.names())
	}
	return m.divided
}

// names returns the names of the members that have given a sign of life.
func (m *membership) names() []string { return slices.Collect(maps.Keys(m.lastSign)) }

// startWait returns the time until this gateway may use its whole shares of admissions: the
// process before it has not sent within the window, and the others know that it is there.
func (m *membership) startWait(now time.Time) time.Duration {
	wait := m.started.Add(quota.AdmissionWindow).Sub(now)
	if !m.registered && !m.announced.IsZero() {
		wait = max(wait, m.announced.Add(joinWait).Sub(now))
	}
	if !m.registered && m.announced.IsZero() {
		wait = max(wait, joinWait)
	}
	return max(wait, 0)
}

func (p *peers) startWait(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.startWait(now)
}

// allMembers returns the gateways that may be running, nil if they are not known.
func (p *peers) allMembers() *share.Members {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.members()
}

// gateways returns the number of gateways that may be running, 0 if it is not known.
func (p *peers) gateways() int {
	members := p.allMembers()
	if members == nil {
		return 0
	}
	return members.Count() + gatewayHeadroom
}

func (p *peers) membersKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.listed
}

// ranBefore reports whether a process of this name may have run before this one.
func (p *peers) ranBefore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.registered || !p.members.listed
}

func (p *peers) recordAnnounced(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.announced = now
}

// age returns the time since the record was written, by the clocks of both nodes.
func (r peerRecord) age(now time.Time) time.Duration {
	return max(0, now.Sub(time.Unix(0, r.Revision)))
}

// deleteExpired deletes the records of gateways that are no longer members. Each of them is
// deleted by one of the gateways that are alive.
func (p *peers) deleteExpired(ctx context.Context, records []platform.Record) {
	now := time.Now()
	alive := share.NewMembers(p.gateway.node.Name, p.alive(now))
	for _, r := range records {
		record, err := decodePeerRecord(r.Value, now)
		if err != nil || record.age(now) <= memberLifetime {
			continue
		}
		if alive.Rank(rendezvous.Hash(r.Key)) > 0 {
			continue
		}
		putCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err = p.gateway.store.Put(putCtx, platform.TopicNodes, r.Key, nil)
		cancel()
		if err != nil {
			p.gateway.log.Problem("expired node record not deleted", err, eventlog.Fields{"node": r.Key})
			return
		}
		p.gateway.log.State("expired node record deleted", eventlog.Fields{"node": r.Key})
	}
}

// records returns the records of all gateways, for one that cannot read them in the store.
func (p *peers) records() ([]*wire.StoredRecord, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*wire.StoredRecord, 0, len(p.members.lastSign))
	for name, last := range p.members.lastSign {
		record := p.nodes[name].record
		record.Revision = max(record.Revision, last.UnixNano())
		value, err := json.Marshal(record)
		if err != nil {
			return nil, err
		}
		list = append(list, &wire.StoredRecord{Key: name, Value: value})
	}
	return list, nil
}
