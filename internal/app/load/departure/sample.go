package departure

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzalbend/internal/app/load/caller"
)

// Phase is a part of a run.
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

// Class is a kind of load.
type Class string

// Classes.
const (
	Interactive Class = "interactive" // streamed drafts
	Certificate Class = "certificate" // calls that may not be repeated
	Lookup      Class = "lookup"      // idempotent calls
	Batch       Class = "batch"       // streamed drafts of low priority
)

var classes = []Class{Interactive, Certificate, Lookup, Batch}

// span is a phase with its end, counted from the start of a run.
type span struct {
	phase Phase
	end   time.Duration
}

// timeline tells the phase of each moment of a run.
type timeline struct {
	start time.Time
	spans []span
}

func (t *timeline) phase(at time.Time) Phase {
	since := at.Sub(t.start)
	for _, span := range t.spans {
		if since < span.end {
			return span.phase
		}
	}
	return t.spans[len(t.spans)-1].phase
}

const (
	longest         = int64(time.Minute)
	shortest        = int64(time.Microsecond)
	histogramDigits = 3
)

// cell collects the outcomes of one class that were due in one phase.
type cell struct {
	offered  int64
	answered int64
	refused  int64                   // not answered, and told that it did not run
	unsure   int64                   // not answered, and not told whether it ran
	first    *hdrhistogram.Histogram // due to first token, or to the answer
	between  *hdrhistogram.Histogram // between tokens
}

func newCell() *cell {
	return &cell{
		first:   hdrhistogram.New(shortest, longest, histogramDigits),
		between: hdrhistogram.New(shortest, longest, histogramDigits),
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
	case outcome.Whole:
		c.answered++
	case outcome.Ran == caller.RanNo:
		c.refused++
		return
	default:
		c.unsure++
		return
	}
	first := ended.Sub(due) - (outcome.Total - outcome.FirstToken)
	_ = c.first.RecordValue(min(int64(first), longest))
	for _, gap := range outcome.Gaps {
		_ = c.between.RecordValue(min(int64(gap), longest))
	}
}
