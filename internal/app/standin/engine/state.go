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

// Truth is what really happened, over all incarnations.
type Truth struct {
	Incarnation       string   `json:"incarnation"`
	Requests          int      `json:"requests"`
	Tokens            int      `json:"tokens"`
	Finished          int      `json:"finished"`
	Cancelled         int      `json:"cancelled"`
	MaxRunning        int      `json:"max_running"`
	ColdLimit         int      `json:"cold_limit"`
	MaxRunningCold    int      `json:"max_running_cold"`
	FellOver          int      `json:"fell_over"`
	Died              int      `json:"died"`
	LastRequestUnixMS int64    `json:"last_request_unix_ms"`
	Orders            []Order  `json:"orders"`
	RequestIDs        []string `json:"request_ids"`
}

// Faults are the faults that can be set from outside.
type Faults struct {
	Stall      bool   `json:"stall"`
	Cold       bool   `json:"cold"`
	DieOn      string `json:"die_on"`
	LateMS     int    `json:"late_ms"`
	BreakAfter int    `json:"break_after"`
}

// state is the engine's state; running counts waiting requests too.
type state struct {
	config Config
	slots  chan struct{}

	lock      sync.Mutex
	truth     Truth
	faults    Faults
	thaw      chan struct{} // closed when no stall is set
	started   int           // incarnations so far
	cold      bool
	warmed    int // requests finished while cold
	down      time.Time
	running   int
	drops     map[int]context.CancelCauseFunc
	nextID    int
	report    Load
	reported  time.Time
	highOrder int64
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
		config: config,
		slots:  make(chan struct{}, config.Slots),
		drops:  make(map[int]context.CancelCauseFunc),
		thaw:   make(chan struct{}),
	}
	close(s.thaw)
	s.restart(!config.Warm)
	return s
}

// restart begins a new incarnation. The caller holds the lock, but for newState.
func (s *state) restart(cold bool) {
	s.started++
	s.truth.Incarnation = fmt.Sprintf("%d-%d", time.Now().UnixNano(), s.started)
	s.truth.ColdLimit = s.config.ColdLimit
	s.cold = cold
	s.warmed = 0
	for _, drop := range s.drops {
		drop(errDropped)
	}
	clear(s.drops)
	s.running = 0
}

// begin takes a request in. The returned context ends with errDropped when the
// engine dies; end must be called once.
func (s *state) begin(ctx context.Context, requestID string) (run context.Context, id int, err error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := time.Now()
	if now.Before(s.down) {
		return nil, 0, errRestarting
	}
	s.record(now, requestID)
	s.running++
	s.truth.MaxRunning = max(s.truth.MaxRunning, s.running)
	if s.cold {
		s.truth.MaxRunningCold = max(s.truth.MaxRunningCold, s.running)
		if s.running > s.config.ColdLimit {
			s.truth.FellOver++
			s.goDown(now)
			return nil, 0, errDropped
		}
	}
	run, drop := context.WithCancelCause(ctx)
	s.nextID++
	s.drops[s.nextID] = drop
	return run, s.nextID, nil
}

func (s *state) record(now time.Time, requestID string) {
	s.truth.Requests++
	s.truth.LastRequestUnixMS = now.UnixMilli()
	if len(s.truth.RequestIDs) < maxRecordedIDs {
		s.truth.RequestIDs = append(s.truth.RequestIDs, requestID)
	}
}

// goDown drops all requests and refuses new ones for a while; the next
// incarnation is cold. The caller holds the lock.
func (s *state) goDown(now time.Time) {
	s.restart(true)
	s.down = now.Add(milliseconds(s.config.RestartMS))
}

// end takes a request out after it generated tokens.
func (s *state) end(id int, tokens int, finished bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.truth.Tokens += tokens
	if finished {
		s.truth.Finished++
	} else {
		s.truth.Cancelled++
	}
	drop, current := s.drops[id]
	if !current {
		return // of an earlier incarnation
	}
	drop(nil)
	delete(s.drops, id)
	s.running--
	if finished && s.cold {
		s.warmed++
		s.cold = s.warmed < s.config.ColdRequests
	}
}

// die is what a request does that crashes the engine.
func (s *state) die() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.truth.Died++
	s.goDown(time.Now())
}

// load returns the load report, which is as old as configured.
func (s *state) load() Load {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := time.Now()
	if now.Sub(s.reported) >= milliseconds(s.config.LoadLagMS) {
		running := min(s.running, s.config.Slots)
		s.report = Load{
			Incarnation: s.truth.Incarnation,
			Running:     running,
			Waiting:     s.running - running,
			Cold:        s.cold,
		}
		s.reported = now
	}
	report := s.report
	report.ReportAgeMS = now.Sub(s.reported).Milliseconds()
	return report
}

func (s *state) setFaults(faults Faults) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if faults.Stall != s.faults.Stall {
		if faults.Stall {
			s.thaw = make(chan struct{})
		} else {
			close(s.thaw)
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

// takeBreak returns after how many tokens the stream must break, once for each
// time the fault is set; 0 for never.
func (s *state) takeBreak() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	after := s.faults.BreakAfter
	s.faults.BreakAfter = 0
	return after
}

func (s *state) thawed() <-chan struct{} {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.thaw
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
