package quota

import "time"

const (
	buckets       = 20  // number of buckets in a window
	ratioFraction = 0.9 // fraction of the ratio that is used
	slackFraction = 0.7 // fraction of the slack that all gateways together use
)

// window counts the events of a sliding window in buckets. The counted time is up to
// one bucket longer than the window.
type window struct {
	bucketLength time.Duration
	counts       [buckets + 1]int
	newest       int64 // number of the newest bucket
}

func newWindow(length time.Duration) window { return window{bucketLength: length / buckets} }

func (w *window) advance(now time.Time) {
	number := now.UnixNano() / int64(w.bucketLength)
	for w.newest < number && w.newest >= number-buckets {
		w.newest++
		w.counts[w.newest%(buckets+1)] = 0
	}
	if w.newest < number {
		w.counts = [buckets + 1]int{}
		w.newest = number
	}
}

func (w *window) add(now time.Time) {
	w.advance(now)
	w.counts[w.newest%(buckets+1)]++
}

func (w *window) sum(now time.Time) int {
	w.advance(now)
	total := 0
	for _, count := range w.counts {
		total += count
	}
	return total
}

// RetryBudget is one gateway's share of the retries of a service. It is not safe for
// concurrent use.
type RetryBudget struct {
	requests  window
	retries   window
	ratio     float64
	slack     float64 // of all gateways together
	slackFrom time.Time
	startWith float64 // slack of all gateways together before slackFrom
}

// NewRetryBudget returns the budget of a gateway that started at a time. In each window of
// the given length it allows ratio retries per request of this gateway, and an equal share
// of the slack of all gateways. In the first window it has only what the process before this
// one cannot have used.
func NewRetryBudget(ratio, slack float64, length time.Duration, started time.Time) *RetryBudget {
	return &RetryBudget{
		requests:  newWindow(length),
		retries:   newWindow(length),
		ratio:     ratio * ratioFraction,
		slack:     slack * slackFraction,
		slackFrom: started.Add(length),
		startWith: slack * (1 - slackFraction),
	}
}

// RecordRequest counts a request, which raises the number of retries allowed.
func (r *RetryBudget) RecordRequest(now time.Time) { r.requests.add(now) }

// Allow reports whether a retry may be sent now, and counts it if so. gateways is the
// number of gateways that may be running; 0: it is not known, and there is no slack.
func (r *RetryBudget) Allow(gateways int, now time.Time) bool {
	slack := r.slack
	if now.Before(r.slackFrom) {
		slack = r.startWith
	}
	allowed := r.ratio * float64(r.requests.sum(now))
	if gateways > 0 {
		allowed += slack / float64(gateways)
	}
	if float64(r.retries.sum(now)+1) > allowed {
		return false
	}
	r.retries.add(now)
	return true
}
