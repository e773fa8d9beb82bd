// Package memory bounds the bytes that all requests of a process hold together, so that
// the process stays within the memory of its VM. It answers load with large bodies, of
// which a few fill a small VM.
//
// Package internal/app/gateway uses it.
package memory

import "sync/atomic"

const (
	// LargeBytes is the size from which a body counts as large. Large ones leave some of
	// the budget to the others.
	LargeBytes     = 64 << 10
	largeOfBudget  = 0.85
	budgetOfMemory = 0.45 // the rest is for the runtime, sockets and what is not counted
)

// Budget counts the bytes that requests hold.
type Budget struct {
	limit int64 // 0: none
	used  atomic.Int64
}

// NewBudget returns the budget of a process that may use so many bytes of memory; 0 sets
// no limit.
func NewBudget(processBytes int64) *Budget {
	return &Budget{limit: int64(float64(processBytes) * budgetOfMemory)}
}

// Used returns the number of bytes that requests hold.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reservation is what one request holds. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	held   int64
}

// Reserve returns a reservation of no bytes. It must be released.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// TryGrow adds bytes if the budget allows it, and reports whether it does.
func (r *Reservation) TryGrow(bytes int64) bool {
	limit := r.budget.limit
	if r.held+bytes > LargeBytes {
		limit = int64(float64(limit) * largeOfBudget)
	}
	if r.budget.used.Add(bytes) > limit && r.budget.limit > 0 {
		r.budget.used.Add(-bytes)
		return false
	}
	r.held += bytes
	return true
}

// Grow adds bytes that are held already, such as those of an answer that must not be lost.
func (r *Reservation) Grow(bytes int64) {
	r.budget.used.Add(bytes)
	r.held += bytes
}

// Release gives all bytes back.
func (r *Reservation) Release() {
	r.budget.used.Add(-r.held)
	r.held = 0
}
