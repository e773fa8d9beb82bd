package admission

import "time"

// Bounds of what is kept free for accounts that come and go.
const (
	reserveWindow  = time.Second // over which the peak of an account counts
	reserveShare   = 4           // one slot in this many is kept free at most
	reserveLargest = 2           // an account with one slot in this many leaves the reserve alone
)

// owner is an account of a team.
type owner struct {
	team, account string
}

func ownerOf(r Request) owner { return owner{r.Team, r.Account} }

// usage is how many requests of an account run, and the most at once in this
// window and the one before.
type usage struct {
	running, peak, lastPeak int
}

// reserve knows how many slots accounts have had lately, so that an account
// with many requests does not take those that others use from time to time.
type reserve struct {
	owners map[owner]*usage
	turned time.Time
}

func newReserve() *reserve { return &reserve{owners: make(map[owner]*usage)} }

func (s *reserve) start(now time.Time, o owner) {
	s.turn(now)
	u, ok := s.owners[o]
	if !ok {
		u = &usage{}
		s.owners[o] = u
	}
	u.running++
	u.peak = max(u.peak, u.running)
}

func (s *reserve) end(now time.Time, o owner) {
	s.turn(now)
	if u, ok := s.owners[o]; ok {
		u.running--
	}
}

// turn starts a new window when the present one is over, and forgets accounts
// without requests in both.
func (s *reserve) turn(now time.Time) {
	past := now.Sub(s.turned)
	if past < reserveWindow {
		return
	}
	s.turned = now
	for o, u := range s.owners {
		u.lastPeak, u.peak = u.peak, u.running
		if past >= 2*reserveWindow {
			u.lastPeak = u.running
		}
		if u.peak+u.lastPeak == 0 {
			delete(s.owners, o)
		}
	}
}

// leaves reports whether an account may start a request with the given number
// of slots free: one that has a large part of the limit leaves those that the
// others have used at once in the last windows.
func (s *reserve) leaves(o owner, free, limit int) bool {
	own, ok := s.owners[o]
	if !ok || own.running*reserveLargest < limit {
		return true
	}
	kept := 0
	for other, u := range s.owners {
		if other != o {
			kept += max(u.peak, u.lastPeak) - u.running
		}
	}
	return free > min(kept, limit/reserveShare)
}
