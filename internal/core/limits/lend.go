package limits

import "time"

// HeldWait is how long an entry that has started has no part of small concurrency limits,
// unless all peers have told before which of its permits they hold.
const HeldWait = DefaultStaleAfter + DefaultGuard

// Lend lends a peer a permit of a subject's concurrency limit for one request, if
// this entry has one to spare. The permit counts as used until TakeBack, or until
// the peer no longer holds it: see ReceiveHeld.
func (l *Limiter) Lend(now time.Time, borrower string, id uint64, wanted Subject) bool {
	if wanted.Limits[Concurrent] == 0 || !l.peers.knows(borrower) {
		return false
	}
	shard := l.shardOf(wanted.Name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s := shard.get(wanted, now)
	l.updateShares(s)
	s.lastUsed = now
	if !s.lends(l.view.Load().total) || !s.hasPermit() {
		return false
	}
	if !l.loans.lend(id, lentPermit{subject: wanted.Name, borrower: borrower, lentAt: now}) {
		return false
	}
	s.lent++
	return true
}

// TakeBack records that a peer has given a permit back.
func (l *Limiter) TakeBack(borrower string, id uint64) {
	l.takeBack(func(lent uint64, permit lentPermit) bool {
		return lent == id && permit.borrower == borrower
	})
}

// takeBack takes back the lent permits for which ended holds.
func (l *Limiter) takeBack(ended func(id uint64, permit lentPermit) bool) {
	for _, name := range l.loans.remove(ended) {
		l.withSubject(name, func(s *subject) { s.lent-- })
	}
}

// MustAskHeld reports whether a peer has to be asked which permits of this entry it
// holds: since this entry has started, or since it has lent some before a time.
func (l *Limiter) MustAskHeld(peer string, lentBefore time.Time) bool {
	return !l.peers.heldKnown(peer) || l.loans.lentTo(peer, lentBefore)
}

// ReceiveHeld applies a peer's answer to the question, sent at askedAt, which permits
// of this entry it holds. Permits lent before that and not held have ended. Those
// named in the first answer may have been lent by this entry's process before.
func (l *Limiter) ReceiveHeld(now, askedAt time.Time, peer string, held []Loan) {
	holds := make(map[uint64]bool, len(held))
	first := l.peers.knows(peer) && !l.peers.heldKnown(peer)
	for _, loan := range held {
		holds[loan.ID] = true
		if first {
			l.restore(now, peer, loan)
		}
	}
	if first {
		l.peers.setHeldKnown(peer)
		l.refreshView(now)
	}
	l.takeBack(func(id uint64, permit lentPermit) bool {
		return permit.borrower == peer && permit.lentAt.Before(askedAt) && !holds[id]
	})
}

// restore records a permit that this entry's process before has lent.
func (l *Limiter) restore(now time.Time, borrower string, loan Loan) {
	shard := l.shardOf(loan.Subject)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s := shard.get(Subject{Name: loan.Subject}, now)
	if l.loans.lend(loan.ID, lentPermit{subject: loan.Subject, borrower: borrower, lentAt: now}) {
		s.lent++
	}
}
