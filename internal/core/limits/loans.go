package limits

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// loanTime is how long a permit counts as lent if the borrower can't be asked:
	// MaxRequestTime and the time from the question to the start of the request.
	loanTime = MaxRequestTime + 5*time.Second
	// MaxRequestTime is the longest time that a request may run.
	MaxRequestTime = 600 * time.Second
)

// Loan is a permit of a concurrency limit that another entry lends to this one for
// one request.
type Loan struct {
	ID      uint64
	Subject string
	Lender  string
}

// lentPermit is a permit that this entry has lent.
type lentPermit struct {
	subject  string
	borrower string
	lentAt   time.Time
}

// loans holds the permits that this entry has lent and those that it has borrowed.
type loans struct {
	mu       sync.Mutex
	lent     map[uint64]lentPermit
	borrowed map[uint64]Loan // also those asked for that have not been refused
}

// borrow records a permit that a peer is about to be asked for.
func (l *loans) borrow(lender, subject string) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	loan := Loan{ID: rand.Uint64(), Subject: subject, Lender: lender}
	l.borrowed[loan.ID] = loan
	return loan
}

// drop removes permits that this entry no longer uses.
func (l *loans) drop(dropped []Loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, loan := range dropped {
		delete(l.borrowed, loan.ID)
	}
}

// borrowedFrom returns the permits that a peer has lent, or has been asked for.
func (l *loans) borrowedFrom(lender string) []Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Loan
	for _, loan := range l.borrowed {
		if loan.Lender == lender {
			found = append(found, loan)
		}
	}
	return found
}

// lend records a permit as lent. It reports false if there is one with this ID.
func (l *loans) lend(id uint64, permit lentPermit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, exists := l.lent[id]; exists {
		return false
	}
	l.lent[id] = permit
	return true
}

// remove removes the lent permits for which ended holds and returns their subjects.
func (l *loans) remove(ended func(id uint64, permit lentPermit) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var subjects []string
	for id, permit := range l.lent {
		if ended(id, permit) {
			delete(l.lent, id)
			subjects = append(subjects, permit.subject)
		}
	}
	return subjects
}

// lentTo reports whether a peer has a permit that was lent before a time.
func (l *loans) lentTo(borrower string, before time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, permit := range l.lent {
		if permit.borrower == borrower && permit.lentAt.Before(before) {
			return true
		}
	}
	return false
}
