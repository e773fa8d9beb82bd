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
	// startTime is the time from its start in which a gateway may use a share of those that
	// start: it has announced itself, and joinWait has passed.
	startTime = firstReadTimeout + storeTimeout + joinWait
)

// membership is the set of gateways among which common limits are divided. Unlike
// peers.nodes it keeps those that are silent: they may be cut off and go on sending. The
// lock of peers guards it.
type membership struct {
	self       string
	started    time.Time
	announced  time.Time // when this gateway's first announcement ended; zero: not yet
	written    bool      // the announcement is in the store
	registered bool      // a process of this name has announced itself before this one, so the others know it
	previous   time.Time // start of that process
	unread     bool      // the records could not be read before this gateway announced itself
	listed     bool      // the records of all gateways have been read, from the store or a peer
	listedAt   time.Time // when that was first so
	known      map[string]member
	divided    *share.Members // of known and self; nil: to be made
}

// member is a gateway that may be running.
type member struct {
	record   peerRecord
	lastSign time.Time // last sign of life
}

func newMembership(self string, started time.Time) membership {
	return membership{self: self, started: started, known: make(map[string]member)}
}

// add records a sign of life of a gateway.
func (m *membership) add(name string, record peerRecord, at time.Time) {
	if name == m.self {
		m.addOwn(record, at)
	}
	last, known := m.known[name]
	if !known {
		m.divided = nil
	}
	if !known || at.After(last.lastSign) {
		m.known[name] = member{record, at}
	}
}

// addOwn records a sign of life of a process of this gateway's name.
func (m *membership) addOwn(record peerRecord, at time.Time) {
	previous := at // of an earlier version, which does not tell when it started
	if record.Started != 0 {
		previous = time.Unix(0, record.Started)
	}
	if record.Started == m.started.UnixNano() || record.Started == 0 && record.Revision >= m.started.UnixNano() {
		return
	}
	m.registered = true
	if previous.After(m.previous) {
		m.previous = previous
	}
}

// recordList records that all records of gateways have been added. Until a new gateway has
// announced itself, others that start with it may not be among them, nor know of it.
func (m *membership) recordList(now time.Time) {
	if !m.listed && (m.registered || !m.announced.IsZero()) {
		m.listed, m.listedAt = true, now
	}
	before := len(m.known)
	maps.DeleteFunc(m.known, func(_ string, known member) bool { return now.Sub(known.lastSign) > memberLifetime })
	if len(m.known) != before {
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
func (m *membership) names() []string { return slices.Collect(maps.Keys(m.known)) }

// startWait returns the time until this gateway may use its whole shares of admissions: the
// process before it has not sent within the window, and the others know that it is there.
func (m *membership) startWait(now time.Time) time.Duration {
	wait := m.started.Add(quota.AdmissionWindow).Sub(now)
	if !m.registered {
		wait = max(wait, joinWait-m.sinceJoined(now))
	}
	return max(wait, 0)
}

// sinceJoined returns the time since this gateway, whose name is new, has announced itself
// and then has learned whom to send datagrams.
func (m *membership) sinceJoined(now time.Time) time.Duration {
	if !m.listed || m.announced.IsZero() {
		return 0
	}
	return min(now.Sub(m.announced), now.Sub(m.listedAt))
}

// hasStartShare reports whether this gateway may use a share of those that start. What the
// process before it may have sent so no longer counts, the one after it must be able to
// tell, and others that join with it know of it.
func (m *membership) hasStartShare(now time.Time) bool {
	unused := m.started.Sub(m.previous) >= startTime+quota.AdmissionWindow
	known := m.registered || m.sinceJoined(now) >= idleInterval
	return m.written && !m.unread && unused && known && now.Sub(m.started) < startTime
}

func (p *peers) startWait(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.startWait(now)
}

// admissionMembers returns the gateways among which admissions are divided, nil if this one
// has no share, and whether it has only a share of those that start.
func (p *peers) admissionMembers(now time.Time) (members *share.Members, starting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	starting = p.members.startWait(now) > 0
	if starting && !p.members.hasStartShare(now) {
		return nil, true
	}
	return p.members.members(), starting
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
	return p.members.registered || p.members.unread || p.members.announced.IsZero()
}

// recordAnnounced records that this gateway has announced itself for the first time,
// whether it had read the others' records before, and whether its record was written.
func (p *peers) recordAnnounced(read, written bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.announced, p.members.unread, p.members.written = now, !read, written
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

// records returns the records of all gateways, for one that cannot read them in the store,
// and none if this gateway has not learned of all itself.
func (p *peers) records() ([]*wire.StoredRecord, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.members.listed {
		return nil, nil
	}
	list := make([]*wire.StoredRecord, 0, len(p.members.known))
	for name, known := range p.members.known {
		record := known.record
		record.Revision = max(record.Revision, known.lastSign.UnixNano())
		value, err := json.Marshal(record)
		if err != nil {
			return nil, err
		}
		list = append(list, &wire.StoredRecord{Key: name, Value: value})
	}
	return list, nil
}
