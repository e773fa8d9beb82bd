package engine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

var (
	errDropped    = errors.New("engine dropped its requests")
	errRestarting = errors.New("engine restarts")
)

const maxRecordedIDs = 100000

// Truth is what really happened so far, over all incarnations.
type Truth struct {
	Incarnation       string   `json:"incarnation"`
	Requests          int      `json:"requests"`
	Tokens            int      `json:"tokens"`
	Finished          int      `json:"finished"`
	Cancelled         int      `json:"cancelled"` // requests that ran and ended without a complete answer
	MaxRunning        int      `json:"max_running"`
	ColdLimit         int      `json:"cold_limit"`
	MaxRunningCold    int      `json:"max_running_cold"`
	FellOver          int      `json:"fell_over"` // crashes because a cold engine got more than ColdLimit requests
	Died              int      `json:"died"`      // crashes because of Faults.DieOn
	LastRequestUnixMS int64    `json:"last_request_unix_ms"`
	Orders            []Order  `json:"orders"`
	RequestIDs        []string `json:"request_ids"`
}

// Faults are the faults that a request to /standin/fault sets.
type Faults struct {
	Stall      bool   `json:"stall"`       // no tokens are generated
	Cold       bool   `json:"cold"`        // begins a new, cold incarnation; acts once
	DieOn      string `json:"die_on"`      // a request with this text in a message crashes the engine
	LateMS     int    `json:"late_ms"`     // additional time to the first token
	BreakAfter int    `json:"break_after"` // tokens after which the next stream breaks
}

// state is the state that all requests of an engine share.
type state struct {
	config Config
	slots  chan struct{}

	lock           sync.Mutex
	truth          Truth
	faults         Faults
	resume         chan struct{} // closed when no stall is set
	incarnations   int           // incarnations so far
	cold           bool
	finishedCold   int       // requests finished by this incarnation while cold
	downUntil      time.Time // refuses requests until then
	running        int       // requests, including those that wait for a slot
	cancels        map[int]context.CancelCauseFunc
	nextID         int
	report         Load
	reportedAt     time.Time
	highestFencing int64
}

// Load is the engine's load report.
type Load struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Cold        bool   `json:"cold"`
	ReportAgeMS int64  `json:"report_age_ms"`
}

func newState(config Config) *state {
	s := &state{
		config:  config,
		slots:   make(chan struct{}, config.Slots),
		cancels: make(map[int]context.CancelCauseFunc),
		resume:  make(chan struct{}),
	}
	close(s.resume)
	s.restart(!config.Warm)
	return s
}

// restart drops all requests and begins a new incarnation. The caller holds the
// lock, except in newState.
func (s *state) restart(cold bool) {
	s.incarnations++
	s.truth.Incarnation = fmt.Sprintf("%d-%d", time.Now().UnixNano(), s.incarnations)
	s.truth.ColdLimit = s.config.ColdLimit
	s.cold = cold
	s.finishedCold = 0
	for _, cancel := range s.cancels {
		cancel(errDropped)
	}
	clear(s.cancels)
	s.running = 0
}

// begin registers a request. The returned context ends with errDropped when the
// incarnation ends. The caller must call end once with the returned id.
func (s *state) begin(ctx context.Context, requestID string) (run context.Context, id int, err error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := time.Now()
	if now.Before(s.downUntil) {
		return nil, 0, errRestarting
	}
	s.record(now, requestID)
	s.running++
	s.truth.MaxRunning = max(s.truth.MaxRunning, s.running)
	if s.cold {
		s.truth.MaxRunningCold = max(s.truth.MaxRunningCold, s.running)
		if s.running > s.config.ColdLimit {
			s.truth.FellOver++
			s.refuseAndRestart(now)
			return nil, 0, errDropped
		}
	}
	run, cancel := context.WithCancelCause(ctx)
	s.nextID++
	s.cancels[s.nextID] = cancel
	return run, s.nextID, nil
}

func (s *state) record(now time.Time, requestID string) {
	s.truth.Requests++
	s.truth.LastRequestUnixMS = now.UnixMilli()
	if len(s.truth.RequestIDs) < maxRecordedIDs {
		s.truth.RequestIDs = append(s.truth.RequestIDs, requestID)
	}
}

// refuseAndRestart drops all requests, begins a cold incarnation and refuses new
// requests for the configured time. The caller holds the lock.
func (s *state) refuseAndRestart(now time.Time) {
	s.restart(true)
	s.downUntil = now.Add(milliseconds(s.config.RestartMS))
}

// end removes a request, which has generated the given number of tokens.
func (s *state) end(id int, tokens int, finished bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.truth.Tokens += tokens
	if finished {
		s.truth.Finished++
	} else {
		s.truth.Cancelled++
	}
	cancel, current := s.cancels[id]
	if !current {
		return // the request belongs to an earlier incarnation
	}
	cancel(nil)
	delete(s.cancels, id)
	s.running--
	if finished && s.cold {
		s.finishedCold++
		s.cold = s.finishedCold < s.config.ColdRequests
	}
}

// crash simulates a crash of the engine that a request causes.
func (s *state) crash() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.truth.Died++
	s.refuseAndRestart(time.Now())
}

// load returns the load report, which is up to LoadLagMS old.
func (s *state) load() Load {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := time.Now()
	if now.Sub(s.reportedAt) >= milliseconds(s.config.LoadLagMS) {
		running := min(s.running, s.config.Slots)
		s.report = Load{
			Incarnation: s.truth.Incarnation,
			Running:     running,
			Waiting:     s.running - running,
			Cold:        s.cold,
		}
		s.reportedAt = now
	}
	report := s.report
	report.ReportAgeMS = now.Sub(s.reportedAt).Milliseconds()
	return report
}

func (s *state) setFaults(faults Faults) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if faults.Stall != s.faults.Stall {
		if faults.Stall {
			s.resume = make(chan struct{})
		} else {
			close(s.resume)
		}
	}
	if faults.Cold {
		s.restart(true)
		faults.Cold = false
	}
	s.faults = faults
}

func (s *state) currentFaults() Faults {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.faults
}

// takeBreakAfter returns the number of tokens after which a stream must break, or
// 0 for never, and clears that fault.
func (s *state) takeBreakAfter() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	after := s.faults.BreakAfter
	s.faults.BreakAfter = 0
	return after
}

func (s *state) resumed() <-chan struct{} {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.resume
}

func (s *state) incarnation() string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.truth.Incarnation
}

func (s *state) currentTruth() Truth {
	s.lock.Lock()
	defer s.lock.Unlock()
	truth := s.truth
	truth.Orders = append([]Order{}, s.truth.Orders...)
	truth.RequestIDs = append([]string{}, s.truth.RequestIDs...)
	return truth
}
