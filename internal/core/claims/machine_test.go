package claims

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	machineAgents = 3
	machineKeys   = 2
	rarely        = 9 // one in so many
)

// request is one request of a caller, as the world knows the truth.
type request struct {
	key     Key
	ran     bool
	refused bool // it was told that it has not run
}

// agentState is one agent process. A restart replaces all of it.
type agentState struct {
	claimant *Claimant
	requests map[ID]*request
	running  []ID
}

// claimsMachine drives the real Claimant over a log whose appends land late,
// twice or never. Agents pause, restart with empty memory and lose answers.
type claimsMachine struct {
	starts   int
	records  []Batch
	inFlight []Batch
	agents   [machineAgents]*agentState
	runs     map[Key]int
	answers  map[Key]string // first answer that anybody was given
}

func newClaimsMachine() *claimsMachine {
	m := &claimsMachine{runs: make(map[Key]int), answers: make(map[Key]string)}
	for i := range m.agents {
		m.start(i)
	}
	return m
}

func target(i int) string { return fmt.Sprintf("target-%d", i) }

func (m *claimsMachine) start(i int) {
	m.starts++
	incarnation := fmt.Sprintf("i%d", m.starts)
	m.agents[i] = &agentState{
		claimant: NewClaimant(incarnation, NewFold(0)),
		requests: make(map[ID]*request),
	}
	m.inFlight = append(m.inFlight, Batch{Target: target(i), Incarnation: incarnation, Start: true})
}

// send puts an op on its way to the log, perhaps twice.
func (m *claimsMachine) send(t *rapid.T, i int, op Op) {
	b := Batch{Target: target(i), Incarnation: m.agents[i].claimant.incarnation, Ops: []Op{op}}
	m.inFlight = append(m.inFlight, b)
	if seldom(t, "twice") {
		m.inFlight = append(m.inFlight, b)
	}
}

func (m *claimsMachine) drawAgent(t *rapid.T) int {
	return rapid.IntRange(0, machineAgents-1).Draw(t, "agent")
}

func seldom(t *rapid.T, what string) bool { return rapid.IntRange(1, rarely).Draw(t, what) == rarely }

// drawRequest draws a claim of an agent; serial 0 is none.
func (m *claimsMachine) drawRequest(t *rapid.T, i int) ID {
	claimant := m.agents[i].claimant
	return ID{Incarnation: claimant.incarnation, Serial: rapid.Int64Range(0, claimant.serial).Draw(t, "claim")}
}

// Request is a caller's request or repeat at any agent.
func (m *claimsMachine) Request(t *rapid.T) {
	i := m.drawAgent(t)
	key := Key{byte(rapid.IntRange(1, machineKeys).Draw(t, "key"))}
	state := m.agents[i].claimant.Lookup(key)
	switch state.Phase {
	case Free:
		id, op := m.agents[i].claimant.Begin(key, Fingerprint{})
		m.agents[i].requests[id] = &request{key: key}
		m.send(t, i, op)
	case Answered:
		m.give(t, key, state.Answer)
	case Claimed, Unanswered:
	}
}

func (m *claimsMachine) give(t *rapid.T, key Key, answer *Answer) {
	first, given := m.answers[key]
	if given && first != string(answer.Body) {
		t.Fatalf("key %x: answer %q after %q", key[:1], answer.Body, first)
	}
	m.answers[key] = string(answer.Body)
}

// Land lets any append on its way take effect.
func (m *claimsMachine) Land(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	n := 0
	if seldom(t, "out of order") {
		n = rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "append")
	}
	m.records = append(m.records, m.inFlight[n])
	m.inFlight = append(m.inFlight[:n:n], m.inFlight[n+1:]...)
}

// Read lets an agent fold some records. An agent that does not is paused.
func (m *claimsMachine) Read(t *rapid.T) {
	i := m.drawAgent(t)
	claimant := m.agents[i].claimant
	for n := rapid.IntRange(1, 9).Draw(t, "records"); n > 0; n-- {
		next := claimant.Fold().Next()
		if next >= int64(len(m.records)) {
			return
		}
		_, releases := claimant.Apply(next, m.records[next])
		for _, release := range releases {
			m.send(t, i, release)
		}
	}
}

// Run tries to start every claim of an agent. The connection may fail before
// anything is sent.
func (m *claimsMachine) Run(t *rapid.T) {
	i := m.drawAgent(t)
	agent := m.agents[i]
	for serial := int64(1); serial <= agent.claimant.serial; serial++ {
		id := ID{Incarnation: agent.claimant.incarnation, Serial: serial}
		if !agent.claimant.Start(id) {
			continue
		}
		own := agent.requests[id]
		if seldom(t, "fails to connect") {
			own.refused = true
			m.send(t, i, agent.claimant.NotSent(id))
			continue
		}
		own.ran = true
		m.runs[own.key]++
		agent.running = append(agent.running, id)
	}
}

// Finish ends a run with an answer or, if the service broke off, without.
func (m *claimsMachine) Finish(t *rapid.T) {
	i := m.drawAgent(t)
	agent := m.agents[i]
	if len(agent.running) == 0 {
		return
	}
	id := agent.running[0]
	agent.running = agent.running[1:]
	var answer *Answer
	if !seldom(t, "breaks off") {
		answer = &Answer{Body: []byte(fmt.Sprint(id))}
		m.give(t, agent.requests[id].key, answer)
	}
	m.send(t, i, agent.claimant.Finish(id, answer))
}

// Withdraw refuses a request, for its deadline or its caller's going away.
func (m *claimsMachine) Withdraw(t *rapid.T) {
	i := m.drawAgent(t)
	id := m.drawRequest(t, i)
	release, ok := m.agents[i].claimant.Withdraw(id)
	if !ok {
		return
	}
	m.agents[i].requests[id].refused = true
	m.send(t, i, release)
}

// Restart replaces an agent by one without memory.
func (m *claimsMachine) Restart(t *rapid.T) {
	i := m.drawAgent(t)
	if !seldom(t, "restart") {
		return
	}
	m.checkRequests(t)
	m.start(i)
}

func (m *claimsMachine) checkRequests(t *rapid.T) {
	for _, agent := range m.agents {
		for id, r := range agent.requests {
			if r.ran && r.refused {
				t.Fatalf("request %v ran and was refused with not run", id)
			}
		}
	}
}

// Check holds what must always hold.
func (m *claimsMachine) Check(t *rapid.T) {
	for key, runs := range m.runs {
		if runs > 1 {
			t.Fatalf("key %x ran %d times", key[:1], runs)
		}
	}
	m.checkRequests(t)
	for _, agent := range m.agents {
		for k := byte(1); k <= machineKeys; k++ {
			if state := agent.claimant.Lookup(Key{k}); state.Phase == Answered {
				m.give(t, Key{k}, state.Answer)
			}
		}
	}
}

func TestClaimsMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newClaimsMachine()
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// TestFoldsAgree compares an agent's fold with that of a reader which starts
// at any kept offset, on keys whose records are all kept.
func TestFoldsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ops := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Op {
			kinds := []Kind{KindClaim, KindRelease, KindAnswer, KindUnanswered}
			return Op{
				Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
				Key:    Key{byte(rapid.IntRange(1, 6).Draw(t, "key"))},
				Serial: rapid.Int64Range(1, 3).Draw(t, "serial"),
				Answer: &Answer{Status: rapid.IntRange(200, 204).Draw(t, "status")},
			}
		}), 0, 40).Draw(t, "ops")
		oldest := int64(rapid.IntRange(0, len(ops)).Draw(t, "oldest"))
		early, late := NewFold(0), NewFold(oldest)
		before := make(map[Key]bool)
		for i, op := range ops {
			b := Batch{Incarnation: fmt.Sprint("i", op.Key[0]), Ops: []Op{op}}
			early.Apply(int64(i), b)
			if int64(i) >= oldest {
				late.Apply(int64(i), b)
			} else {
				before[op.Key] = true
			}
		}
		early.Expire(oldest)
		for k := byte(1); k <= 6; k++ {
			if key := (Key{k}); !before[key] {
				assert.DeepEqual(t, early.Lookup(key), late.Lookup(key))
			}
		}
	})
}
