package callerconn

import "time"

const (
	// stalledTime is for how long a client must have sent nothing of a head or of a body, or
	// taken nothing of an answer, before its connection makes room for others.
	stalledTime = time.Second
	// closingPart of the descriptors, and closingMin, is how many connections may be open
	// beyond the bound for the time that those take to end that make room for them.
	closingPart = 1.0 / 32
	closingMin  = 8
)

// WithClosing returns the bound on descriptors that leaves room, within so many, for
// connections that are about to end.
func WithClosing(descriptors int) int {
	return max(min(int(float64(descriptors)/(1+closingPart)), descriptors-closingMin), 1)
}

// makeRoom takes descriptors for a connection and for its running request, and reports whether
// there are any. If there are none, it tells a connection to end.
func (b *Bounds) makeRoom(used int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Descriptors > 0 {
		if b.open+b.used-b.closing >= b.Descriptors && !b.endOne(time.Now()) {
			return false
		}
		if b.open+b.used >= b.Descriptors+max(int(float64(b.Descriptors)*closingPart), closingMin) {
			return false
		}
	}
	b.used += used
	return true
}

// endOne tells a connection to end and reports whether there is one that can make room: one
// whose head has stalled, the one that has been without a request for longest, or the one
// whose body or answer has stalled for longest.
func (b *Bounds) endOne(now time.Time) bool {
	c := b.victim(now)
	if c == nil {
		return false
	}
	b.leave(c)
	b.closing++
	c.end()
	b.ended(MadeRoom, c)
	return true
}

func (b *Bounds) victim(now time.Time) *conn {
	if first := b.inHead.Front(); first != nil {
		if c := first.Value.(*conn); now.Sub(c.headBegan) >= stalledTime {
			return c
		}
	}
	if first := b.waiting.Front(); first != nil {
		return first.Value.(*conn)
	}
	var victim *conn
	longest := now.Add(-stalledTime).UnixNano()
	for c := range b.running {
		if since := c.stalledSince.Load(); since > 0 && since <= longest {
			victim, longest = c, since
		}
	}
	return victim
}
