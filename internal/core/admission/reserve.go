package admission

import "time"

// Limits of the slots that are kept free for accounts with intermittent load.
const (
	reserveWindow       = time.Second // period over which the peak of an account is kept
	reserveDivisor      = 4           // at most 1/reserveDivisor of the limit is kept free
	largeAccountDivisor = 2           // an account with 1/largeAccountDivisor of the limit or more may not use the reserve
)

// accountKey identifies an account of a team.
type accountKey struct {
	team, account string
}

func accountKeyOf(r Request) accountKey { return accountKey{r.Team, r.Account} }

// accountUsage counts the requests of an account: those that run now, and the most
// that ran at once in the current window and in the previous one.
type accountUsage struct {
	running, peak, lastPeak int
}

// reserve tracks how many slots each account has used recently, so that an account
// with many requests does not take those that others use from time to time.
type reserve struct {
	accounts    map[accountKey]*accountUsage
	windowStart time.Time
}

func newReserve() *reserve { return &reserve{accounts: make(map[accountKey]*accountUsage)} }

func (s *reserve) start(now time.Time, key accountKey) {
	s.rotate(now)
	u, ok := s.accounts[key]
	if !ok {
		u = &accountUsage{}
		s.accounts[key] = u
	}
	u.running++
	u.peak = max(u.peak, u.running)
}

func (s *reserve) end(now time.Time, key accountKey) {
	s.rotate(now)
	if u, ok := s.accounts[key]; ok {
		u.running--
	}
}

// rotate starts a new window when the current one is over, and removes accounts
// that had no requests in either.
func (s *reserve) rotate(now time.Time) {
	elapsed := now.Sub(s.windowStart)
	if elapsed < reserveWindow {
		return
	}
	s.windowStart = now
	for key, u := range s.accounts {
		u.lastPeak, u.peak = u.peak, u.running
		if elapsed >= 2*reserveWindow {
			u.lastPeak = u.running
		}
		if u.peak+u.lastPeak == 0 {
			delete(s.accounts, key)
		}
	}
}

// permits reports whether an account may start a request while the given number
// of slots is free. An account with a large part of the limit must leave the slots
// that other accounts used at their peak in the last two windows and do not use
// now, up to 1/reserveDivisor of the limit.
func (s *reserve) permits(key accountKey, free, limit int) bool {
	own, ok := s.accounts[key]
	if !ok || own.running*largeAccountDivisor < limit {
		return true
	}
	reserved := 0
	for other, u := range s.accounts {
		if other != key {
			reserved += max(u.peak, u.lastPeak) - u.running
		}
	}
	return free > min(reserved, limit/reserveDivisor)
}
