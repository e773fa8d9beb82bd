package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	machineColdLimit = 2
	warmAfter        = 2                    // finished requests after which the engine is warm
	rounds           = 4                    // sequences of actions in one run
	maxFlight        = 8 * time.Millisecond // longest time that a request takes to reach the engine
)

// flight is a request that was sent but has not reached the engine yet.
type flight struct {
	id uint64
	at time.Time // of sending
}

// targetMachine drives the real Controller with a model of an engine that turns
// cold without warning, reports late and notices cancelled requests late. The
// controller also learns late of finished and broken requests. The exported
// methods are the actions of rapid's state machine.
type targetMachine struct {
	now        time.Time
	controller *Controller
	lastID     uint64
	unsent     []uint64 // started by the controller but not sent yet
	flights    []flight

	incarnation       int
	cold              bool
	finishedSinceCold int               // requests finished since the engine turned cold
	running           []uint64          // in the engine, including cancelled ones and those of earlier agents
	incarnations      map[uint64]string // that each request reached
	broken            []uint64          // not known to the controller yet
	finished          []uint64          // not known to the controller yet
	report            *Report           // sampled but not delivered yet
	maxRunningCold    int               // most requests that ran while cold
	highestLimit      int               // highest limit after any action
}

func newTargetMachine() *targetMachine {
	m := &targetMachine{now: time.Unix(1000, 0), cold: true, incarnations: make(map[uint64]string)}
	m.startAgent()
	return m
}

func (m *targetMachine) startAgent() {
	m.controller = NewController(m.now, Config{ColdLimit: machineColdLimit, MaxLimit: 8, Queue: 4, Reports: true})
}

func (m *targetMachine) incarnationName() string { return fmt.Sprint("e", m.incarnation) }

// advance starts the requests that may run. They stay at the agent until Send.
func (m *targetMachine) advance() {
	m.unsent = append(m.unsent, m.controller.Next(m.now)...)
}

// Send sends requests that the controller has started.
func (m *targetMachine) Send(t *rapid.T) {
	for n := rapid.IntRange(1, 4).Draw(t, "requests"); n > 0 && len(m.unsent) > 0; n-- {
		m.controller.Sent(m.now, m.unsent[0])
		m.flights = append(m.flights, flight{m.unsent[0], m.now})
		m.unsent = m.unsent[1:]
	}
}

// arrive lets the n-th request in flight reach the engine.
func (m *targetMachine) arrive(n int) {
	id := m.flights[n].id
	m.flights = append(m.flights[:n:n], m.flights[n+1:]...)
	m.running = append(m.running, id)
	m.incarnations[id] = m.incarnationName()
	if m.cold {
		m.maxRunningCold = max(m.maxRunningCold, len(m.running))
	}
}

// take removes a random element of ids and returns it, if there is one.
func take(t *rapid.T, ids *[]uint64, what string) (uint64, bool) {
	if len(*ids) == 0 {
		return 0, false
	}
	n := rapid.IntRange(0, len(*ids)-1).Draw(t, what)
	id := (*ids)[n]
	*ids = append((*ids)[:n:n], (*ids)[n+1:]...)
	return id, true
}

func (m *targetMachine) Tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
	for len(m.flights) > 0 && m.now.Sub(m.flights[0].at) >= maxFlight {
		m.arrive(0)
	}
}

func (m *targetMachine) Offer(t *rapid.T) {
	for n := rapid.IntRange(1, 6).Draw(t, "requests"); n > 0; n-- {
		m.lastID++
		m.controller.Offer(Request{ID: m.lastID, Account: fmt.Sprint(m.lastID % 3), Share: 1})
	}
	m.advance()
}

func (m *targetMachine) Arrive(t *rapid.T) {
	if len(m.flights) > 0 {
		m.arrive(rapid.IntRange(0, len(m.flights)-1).Draw(t, "flight"))
	}
}

// NotifyAnswer delivers the response headers of a request from the incarnation that
// got it.
func (m *targetMachine) NotifyAnswer(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	id := rapid.SampledFrom(m.running).Draw(t, "request")
	m.controller.Confirm(m.now, id, m.incarnations[id])
	m.advance()
}

func (m *targetMachine) Finish(t *rapid.T) {
	for n := rapid.IntRange(1, 4).Draw(t, "requests"); n > 0; n-- {
		id, ok := take(t, &m.running, "request")
		if !ok {
			return
		}
		m.finished = append(m.finished, id)
		m.finishedSinceCold++
		m.cold = m.cold && m.finishedSinceCold < warmAfter
	}
}

func (m *targetMachine) NotifyFinish(t *rapid.T) {
	for n := rapid.IntRange(1, 4).Draw(t, "requests"); n > 0; n-- {
		if id, ok := take(t, &m.finished, "finished"); ok {
			m.controller.End(m.now, id, Finished)
		}
	}
	m.advance()
}

// Cancel cancels a request. The engine notices that at some later Finish.
func (m *targetMachine) Cancel(t *rapid.T) {
	if len(m.running) > 0 {
		m.controller.End(m.now, rapid.SampledFrom(m.running).Draw(t, "request"), Cancelled)
		m.advance()
	}
}

func (m *targetMachine) TurnCold(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "turn cold") > 0 {
		return
	}
	m.incarnation++
	m.cold, m.finishedSinceCold = true, 0
	m.broken = append(m.broken, m.running...)
	m.running = nil
}

func (m *targetMachine) NotifyBreak(t *rapid.T) {
	if id, ok := take(t, &m.broken, "broken"); ok {
		m.controller.End(m.now, id, Broken)
		m.advance()
	}
}

func (m *targetMachine) Sample(*rapid.T) {
	m.report = &Report{Incarnation: m.incarnationName(), Load: len(m.running), Cold: m.cold, Sampled: m.now}
}

// NotifyReport delivers a report that was sampled earlier or, mostly, a new one.
func (m *targetMachine) NotifyReport(t *rapid.T) {
	if m.report == nil || rapid.IntRange(0, 3).Draw(t, "lag") > 0 {
		m.Sample(t)
	}
	m.controller.Observe(m.now, *m.report)
	m.report = nil
	m.advance()
}

// RestartAgent replaces the controller. The new one does not know the requests
// that still run on the engine.
func (m *targetMachine) RestartAgent(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "restart") > 0 {
		return
	}
	for len(m.flights) > 0 {
		m.arrive(0)
	}
	m.unsent, m.broken, m.finished, m.report = nil, nil, nil, nil
	m.now = m.now.Add(time.Millisecond)
	m.startAgent()
}

func (m *targetMachine) Check(t *rapid.T) {
	m.highestLimit = max(m.highestLimit, m.controller.Limit())
	if m.maxRunningCold > machineColdLimit {
		t.Fatalf("a cold engine ran %d requests", m.maxRunningCold)
	}
}

func TestColdTargetIsNeverOverrun(t *testing.T) {
	highestLimit := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newTargetMachine()
		for range rounds {
			t.Repeat(rapid.StateMachineActions(m))
		}
		highestLimit = max(highestLimit, m.highestLimit)
	})
	assert.Assert(t, highestLimit > machineColdLimit, "the limit never rose above the cold limit")
}
