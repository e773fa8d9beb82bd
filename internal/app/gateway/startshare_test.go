package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/quota"
)

// lastStartShare returns the last time at which a process may use its start share.
func lastStartShare(m membership) time.Time {
	last := m.started
	for now := m.started; m.startWait(now) > 0; now = now.Add(time.Millisecond) {
		if m.hasStartShare(now) {
			last = now
		}
	}
	return last
}

// Its record was written some time before that was acknowledged.
func TestRestartedGatewayHasNoStartShareWhileThatOfTheProcessBeforeItCounts(t *testing.T) {
	begin := time.Now()
	for _, acknowledged := range []time.Duration{0, storeTimeout} {
		first := newMembership("gateway-1", begin)
		first.announced, first.written = begin.Add(acknowledged), true
		first.recordList(first.announced)
		last := lastStartShare(first)
		for after := time.Duration(0); after < quota.AdmissionWindow; after += 5 * time.Millisecond {
			second := newMembership("gateway-1", last.Add(after))
			second.add("gateway-1", peerRecord{Revision: begin.UnixNano(), Started: begin.UnixNano()}, begin)
			second.announced, second.written = second.started, true
			assert.Assert(t, !second.hasStartShare(second.started), "%s after, acknowledged after %s", after, acknowledged)
		}
	}
}

// The clock of the VM, or of the one that replaces it, was set back between the processes.
func TestRestartedGatewayKnowsTheProcessBeforeItByAClockThatWasSetBack(t *testing.T) {
	started := time.Now()
	before := started.Add(time.Second)
	m := newMembership("gateway-1", started)
	m.add("gateway-1", peerRecord{Revision: before.UnixNano(), Started: before.UnixNano()}, started)
	m.announced, m.written = started, true
	assert.Assert(t, !m.hasStartShare(started))
}

// Its announcement is renewed at times.
func TestGatewayThatRestartsAfterALongRunHasAStartShare(t *testing.T) {
	started := time.Now()
	before := started.Add(-time.Minute)
	m := newMembership("gateway-1", started)
	m.add("gateway-1", peerRecord{Revision: started.Add(-time.Millisecond).UnixNano(), Started: before.UnixNano()}, started)
	m.announced, m.written = started, true
	assert.Assert(t, m.hasStartShare(started))
}
