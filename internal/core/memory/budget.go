// Package memory bounds the bytes that all requests of a process hold together, so that
// the process stays within the memory of its VM. It answers load with large bodies, of
// which a few fill a small VM, and answers that are large or do not end.
//
// Bytes are reserved before they are read. A request that finds no memory has not run and
// can be refused; one that was sent may have run, and its answer must not be lost for want
// of memory. So answers may use what requests must leave, each has a first part that is
// reserved before its request is sent, and small ones may use what large ones must leave.
//
// Package internal/body and the programs that serve requests use it.
package memory

import (
	"runtime/debug"
	"sync/atomic"
)

const (
	// LargeBytes is what a request or an answer may hold before it counts as large. Large
	// ones leave some of the budget to the others.
	LargeBytes     = 64 << 10
	budgetOfMemory = 0.45 // the rest is for the runtime, sockets and what is not counted
	heapOfMemory   = 0.7  // from which the heap is collected more often
)

// Parts of the budget up to which a reservation may grow.
const (
	largeRequestPart = 0.6
	smallRequestPart = 0.85
	largeAnswerPart  = 0.7
	smallAnswerPart  = 1
	// A source may hold more than sourcePart by large answers only while less than
	// sharedPart of the budget is used.
	sharedPart = 0.5
	sourcePart = 1.0 / 16
)

// Budget counts the bytes that requests hold.
type Budget struct {
	limit int64 // 0: none
	used  atomic.Int64
	heads atomic.Int64 // bytes of used that heads of requests hold
}

// NewBudget returns the budget of a process that may use so many bytes of memory; 0 sets
// no limit.
func NewBudget(processBytes int64) *Budget {
	return &Budget{limit: int64(float64(processBytes) * budgetOfMemory)}
}

// Used returns the number of bytes that requests hold.
func (b *Budget) Used() int64 { return b.used.Load() }

// Source counts the bytes of all answers of one sender. A faulty one does not use up the
// budget for the others.
type Source struct{ used atomic.Int64 }

// Reservation is what one request holds, or one answer. A nil one allows everything. It is
// not safe for concurrent use.
type Reservation struct {
	budget *Budget
	source *Source // nil: none
	answer bool
	head   int64 // bytes of held that do not make an answer large
	held   int64
	ahead  int64 // bytes of held that are reserved and not in use yet
}

// Reserve returns a reservation of no bytes for a request. It must be released.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// ReserveAnswer returns a reservation for the answer to a request that is not sent yet,
// and reports whether the budget allows it. The bytes of the head are in use; TryGrow takes
// the bytes ahead first. The reservation must be released.
func (b *Budget) ReserveAnswer(head, ahead int64) (*Reservation, bool) {
	r := b.Reserve()
	r.head = head
	allowed := r.TryGrow(head + ahead)
	if allowed {
		r.ahead = ahead
	}
	r.answer = true
	return r, allowed
}

// SetSource counts all of an answer as its sender's. It may be called once, before
// TryGrow.
func (r *Reservation) SetSource(source *Source) {
	r.source = source
	source.used.Add(r.held)
}

// TryGrow adds bytes if the budget allows it, and reports whether it does.
func (r *Reservation) TryGrow(bytes int64) bool {
	if r == nil {
		return true
	}
	if bytes <= r.ahead {
		r.ahead -= bytes
		return true
	}
	more := bytes - r.ahead
	used := r.budget.used.Add(more)
	if r.budget.limit > 0 && used > r.limit(more) {
		r.budget.used.Add(-more)
		return false
	}
	r.ahead = 0
	r.add(more)
	return true
}

// limit returns up to how many bytes the budget may be used if the reservation grows.
func (r *Reservation) limit(more int64) int64 {
	large := r.held-r.head+more > LargeBytes
	part := smallRequestPart
	switch {
	case r.answer && large:
		part = largeAnswerPart
	case r.answer:
		part = smallAnswerPart
	case large:
		part = largeRequestPart
	}
	if large && r.source != nil && r.source.used.Load()+more > r.budget.part(sourcePart) {
		part = sharedPart
	}
	return r.budget.part(part)
}

func (b *Budget) part(part float64) int64 { return int64(float64(b.limit) * part) }

// Shrink gives bytes back, such as those of a buffer that was outgrown.
func (r *Reservation) Shrink(bytes int64) {
	if r == nil {
		return
	}
	r.budget.used.Add(-bytes)
	r.add(-bytes)
}

func (r *Reservation) add(bytes int64) {
	r.held += bytes
	if r.source != nil {
		r.source.used.Add(bytes)
	}
}

// Release gives all bytes back.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.Shrink(r.held)
	r.ahead = 0
}

// LimitHeap makes the runtime collect garbage in time in a process that may use so many
// bytes of memory; 0 sets no limit.
func LimitHeap(processBytes int64) {
	if processBytes > 0 {
		debug.SetMemoryLimit(int64(float64(processBytes) * heapOfMemory))
	}
}
