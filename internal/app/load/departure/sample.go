package departure

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzalbend/internal/app/load/caller"
)

// Phase names a period of a run.
type Phase string

// Phases, in order.
const (
	WarmUp    Phase = "warm_up" // not reported
	Before    Phase = "before"
	Leaving   Phase = "leaving" // the first seconds after the domain left
	Out       Phase = "out"
	Returning Phase = "returning"
)

var reportedPhases = []Phase{Before, Leaving, Out, Returning}

// Class is a class of requests.
type Class string

// Classes of requests.
const (
	Interactive Class = "interactive" // streamed drafts
	Certificate Class = "certificate" // calls that are not idempotent
	Lookup      Class = "lookup"      // idempotent calls
	Batch       Class = "batch"       // streamed drafts of low priority
)

var classes = []Class{Interactive, Certificate, Lookup, Batch}

// span is a phase and its end, measured from the start of a run.
type span struct {
	phase Phase
	end   time.Duration
}

// timeline holds the consecutive phases of a run.
type timeline struct {
	start time.Time
	spans []span
}

// phase returns the phase at a time; after the end of the run, the last one.
func (t *timeline) phase(at time.Time) Phase {
	since := at.Sub(t.start)
	for _, span := range t.spans {
		if since < span.end {
			return span.phase
		}
	}
	return t.spans[len(t.spans)-1].phase
}

// Range, in nanoseconds, and precision of the latency histograms.
const (
	maxLatency      = int64(time.Minute)
	minLatency      = int64(time.Microsecond)
	histogramDigits = 3 // significant decimal digits
)

// cell collects the outcomes of the requests of one class that were due in one
// phase.
type cell struct {
	offered        int64
	answered       int64
	refused        int64                   // not answered; the caller knows that it did not run
	outcomeUnknown int64                   // not answered; the caller does not know whether it ran
	firstToken     *hdrhistogram.Histogram // from the due time to the first token or the answer
	tokenGaps      *hdrhistogram.Histogram // between tokens of an answer
}

func newCell() *cell {
	return &cell{
		firstToken: hdrhistogram.New(minLatency, maxLatency, histogramDigits),
		tokenGaps:  hdrhistogram.New(minLatency, maxLatency, histogramDigits),
	}
}

// samples collects outcomes by class and phase.
type samples struct {
	timeline *timeline

	mu    sync.Mutex
	cells map[Class]map[Phase]*cell
}

func newSamples(t *timeline) *samples {
	s := &samples{timeline: t, cells: make(map[Class]map[Phase]*cell)}
	for _, class := range classes {
		s.cells[class] = make(map[Phase]*cell)
		for _, span := range t.spans {
			s.cells[class][span.phase] = newCell()
		}
	}
	return s
}

// add records a request that was due at a time and whose last attempt has just
// ended.
func (s *samples) add(class Class, due time.Time, outcome *caller.Outcome) {
	ended := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.cells[class][s.timeline.phase(due)]
	c.offered++
	switch {
	case outcome.Complete:
		c.answered++
	case outcome.Ran == caller.RanNo:
		c.refused++
		return
	default:
		c.outcomeUnknown++
		return
	}
	firstToken := ended.Sub(due) - (outcome.Total - outcome.FirstToken)
	_ = c.firstToken.RecordValue(min(int64(firstToken), maxLatency))
	for _, gap := range outcome.Gaps {
		_ = c.tokenGaps.RecordValue(min(int64(gap), maxLatency))
	}
}
