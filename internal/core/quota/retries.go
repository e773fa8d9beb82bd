package quota

import "time"

const (
	buckets     = 20  // of a window
	ratioMargin = 0.9 // part of the ratio that is used
	slackMargin = 0.7 // part of the slack that all gateways use together
)

// window counts events in a sliding window, in buckets. The counted span is up
// to one bucket longer than the window.
type window struct {
	span   time.Duration // of a bucket
	counts [buckets + 1]int
	last   int64 // number of the newest bucket
}

func newWindow(length time.Duration) window { return window{span: length / buckets} }

func (w *window) advance(now time.Time) {
	number := now.UnixNano() / int64(w.span)
	for w.last < number && w.last >= number-buckets {
		w.last++
		w.counts[w.last%(buckets+1)] = 0
	}
	if w.last < number {
		w.counts = [buckets + 1]int{}
		w.last = number
	}
}

func (w *window) add(now time.Time) {
	w.advance(now)
	w.counts[w.last%(buckets+1)]++
}

func (w *window) sum(now time.Time) int {
	w.advance(now)
	total := 0
	for _, count := range w.counts {
		total += count
	}
	return total
}

// RetryBudget is one gateway's share of the retries of a service. It is not safe
// for concurrent use.
type RetryBudget struct {
	requests window
	retries  window
	ratio    float64
	slack    float64
}

// NewRetryBudget returns the share of one of a number of gateways: in each window
// of the given length, ratio retries for each of its own requests, and a part of
// the slack that all share.
func NewRetryBudget(ratio, slack float64, length time.Duration, gateways int) *RetryBudget {
	return &RetryBudget{
		requests: newWindow(length),
		retries:  newWindow(length),
		ratio:    ratio * ratioMargin,
		slack:    slack * slackMargin / float64(max(gateways, 1)),
	}
}

// RecordRequest counts a request.
func (r *RetryBudget) RecordRequest(now time.Time) { r.requests.add(now) }

// Allow takes a retry out of the share, or reports that none is left.
func (r *RetryBudget) Allow(now time.Time) bool {
	allowed := r.ratio*float64(r.requests.sum(now)) + r.slack
	if float64(r.retries.sum(now)+1) > allowed {
		return false
	}
	r.retries.add(now)
	return true
}
