package limits

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"quetzalbend/internal/core/share"
)

const (
	// lendingFactor is the number of requests for each entry below which a
	// concurrency limit is divided by rank and lent.
	lendingFactor = 4
	// maxLenders is the number of peers that are asked for one permit.
	maxLenders = 8
	// lendersPause is how long no permit of a subject is asked for after no peer has
	// lent one.
	lendersPause = 250 * time.Millisecond
)

// lends reports whether permits of the concurrency limit are lent from entry to entry.
func (s *subject) lends(entries int) bool {
	return entries > 1 && s.limits[Concurrent] > 0 && s.limits[Concurrent] < float64(lendingFactor*entries)
}

// part returns how many requests the entry with this rank may run by itself.
func (s *subject) part(entries, rank int) int {
	return share.Of(int(s.limits[Concurrent]), entries, rank)
}

// Lenders returns the peers to ask for a permit after a refusal with CodeConcurrency,
// those first that have most to spare by their reports.
func (l *Limiter) Lenders(now time.Time, refusal *Refusal) []string {
	if refusal.Code != CodeConcurrency {
		return nil
	}
	v := l.view.Load()
	var names []string
	spare := make(map[string]float64)
	l.withSubject(refusal.Subject, func(s *subject) {
		if !s.lends(v.total) || now.Before(s.lendersAskedAgainAt) {
			return
		}
		for rank, name := range share.NamesByRank(s.key, v.names) {
			part := s.part(v.total, rank)
			if part == 0 {
				return
			}
			if v.received(name) == 0 {
				continue
			}
			spare[name] = float64(part) - s.reportedDemand(name, v.received(name), Concurrent)
			names = append(names, name)
		}
	})
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(spare[b], spare[a]) })
	return names[:min(len(names), maxLenders)]
}

// Borrow records that a peer is about to be asked for a permit of a subject. Unless
// the permit is passed to Admit and admits the request, Drop must be called.
func (l *Limiter) Borrow(lender, subject string) Loan { return l.loans.borrow(lender, subject) }

// Drop records that permits are no longer used, or were not lent.
func (l *Limiter) Drop(loans ...Loan) { l.loans.drop(loans) }

// NoneLent records that no peer has lent a permit of a subject.
func (l *Limiter) NoneLent(now time.Time, subjectName string) {
	l.withSubject(subjectName, func(s *subject) { s.lendersAskedAgainAt = now.Add(lendersPause) })
}

// BorrowedFrom returns the permits of a peer that this entry may use.
func (l *Limiter) BorrowedFrom(lender string) []Loan { return l.loans.borrowedFrom(lender) }
