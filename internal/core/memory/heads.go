package memory

// A parsed head takes far more memory than its bytes: an entry of a map for each line, and the
// same again for the copy that is sent to a target.
const (
	headPerByte = 2
	headPerLine = 200 // bytes
)

const (
	// freeHeadBytes of each head are not counted. The heads of usual requests take less.
	freeHeadBytes = 8 << 10
	// headPart of the budget is the most that all heads may hold together, so that large ones
	// leave memory to the others.
	headPart = 0.25
)

// HeadBytes returns how much memory the head of a request takes once it is parsed.
func HeadBytes(bytes, lines int) int64 { return headPerByte*int64(bytes) + headPerLine*int64(lines) }

// ReserveHead returns a reservation of no bytes for the head of a request. It must be released.
func (b *Budget) ReserveHead() *Head { return &Head{budget: b} }

// Head is the memory that the head of one request takes. It is not safe for concurrent use.
type Head struct {
	budget *Budget
	held   int64
}

// TrySet sets what the head takes, if the budget allows it, and reports whether it does.
func (h *Head) TrySet(bytes int64) bool {
	b, more := h.budget, max(bytes-freeHeadBytes, 0)-h.held
	heads, used := b.heads.Add(more), b.used.Add(more)
	if more > 0 && b.limit > 0 && (heads > b.part(headPart) || used > b.limit) {
		b.heads.Add(-more)
		b.used.Add(-more)
		return false
	}
	h.held += more
	return true
}

// Release gives all bytes back.
func (h *Head) Release() { h.TrySet(0) }
