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
	rareOneIn     = 9 // rarely returns true once in this many draws, on average
)

// request is one request of a caller, with what really happened to it.
type request struct {
	key     Key
	ran     bool
	refused bool // the caller was told that it has not run
}

// agentState is the state of one agent process. A restart replaces it.
type agentState struct {
	claimant *Claimant
	requests map[ID]*request
	running  []ID
}

// claimsMachine runs Claimants over a log whose appends take effect late, twice
// or never. Agents pause, restart with empty memory and lose answers.
type claimsMachine struct {
	starts         int
	records        []Batch
	pendingAppends []Batch
	agents         [machineAgents]*agentState
	runs           map[Key]int
	answers        map[Key]string // first answer that any caller was given
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
		claimant: NewClaimant(incarnation, NewReplica(0)),
		requests: make(map[ID]*request),
	}
	m.pendingAppends = append(m.pendingAppends, Batch{Target: target(i), Incarnation: incarnation, Start: true})
}

// send starts an append of an op to the log, sometimes twice.
func (m *claimsMachine) send(t *rapid.T, i int, op Op) {
	b := Batch{Target: target(i), Incarnation: m.agents[i].claimant.incarnation, Ops: []Op{op}}
	m.pendingAppends = append(m.pendingAppends, b)
	if rarely(t, "twice") {
		m.pendingAppends = append(m.pendingAppends, b)
	}
}

func (m *claimsMachine) drawAgent(t *rapid.T) int {
	return rapid.IntRange(0, machineAgents-1).Draw(t, "agent")
}

func rarely(t *rapid.T, what string) bool {
	return rapid.IntRange(1, rareOneIn).Draw(t, what) == rareOneIn
}

// drawClaim draws the ID of one of an agent's claims; serial 0 belongs to
// none.
func (m *claimsMachine) drawClaim(t *rapid.T, i int) ID {
	claimant := m.agents[i].claimant
	return ID{Incarnation: claimant.incarnation, Serial: rapid.Int64Range(0, claimant.serial).Draw(t, "claim")}
}

// Request sends a caller's request, or a repeat of one, to any agent.
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
		m.checkAnswer(t, key, state.Answer)
	case Claimed, Unanswered:
	}
}

// checkAnswer fails the test if another answer was given for the key before.
func (m *claimsMachine) checkAnswer(t *rapid.T, key Key, answer *Answer) {
	first, given := m.answers[key]
	if given && first != string(answer.Body) {
		t.Fatalf("key %x: answer %q after %q", key[:1], answer.Body, first)
	}
	m.answers[key] = string(answer.Body)
}

// PerformAppend makes a pending append take effect, usually the oldest.
func (m *claimsMachine) PerformAppend(t *rapid.T) {
	if len(m.pendingAppends) == 0 {
		return
	}
	n := 0
	if rarely(t, "out of order") {
		n = rapid.IntRange(0, len(m.pendingAppends)-1).Draw(t, "append")
	}
	m.records = append(m.records, m.pendingAppends[n])
	m.pendingAppends = append(m.pendingAppends[:n:n], m.pendingAppends[n+1:]...)
}

// Read lets an agent apply some records. An agent that does not read is paused.
func (m *claimsMachine) Read(t *rapid.T) {
	i := m.drawAgent(t)
	claimant := m.agents[i].claimant
	for n := rapid.IntRange(1, 9).Draw(t, "records"); n > 0; n-- {
		next := claimant.Replica().Next()
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
		if rarely(t, "fails to connect") {
			own.refused = true
			m.send(t, i, agent.claimant.NotSent(id))
			continue
		}
		own.ran = true
		m.runs[own.key]++
		agent.running = append(agent.running, id)
	}
}

// Finish ends a run with an answer or, as if the connection to the service had
// broken, without one.
func (m *claimsMachine) Finish(t *rapid.T) {
	i := m.drawAgent(t)
	agent := m.agents[i]
	if len(agent.running) == 0 {
		return
	}
	id := agent.running[0]
	agent.running = agent.running[1:]
	var answer *Answer
	if !rarely(t, "breaks off") {
		answer = &Answer{Body: []byte(fmt.Sprint(id))}
		m.checkAnswer(t, agent.requests[id].key, answer)
	}
	m.send(t, i, agent.claimant.Finish(id, answer))
}

// Withdraw refuses a request, as if its deadline had passed or its caller had
// disconnected.
func (m *claimsMachine) Withdraw(t *rapid.T) {
	i := m.drawAgent(t)
	id := m.drawClaim(t, i)
	release, ok := m.agents[i].claimant.Withdraw(id)
	if !ok {
		return
	}
	m.agents[i].requests[id].refused = true
	m.send(t, i, release)
}

// Restart replaces an agent by one with empty memory.
func (m *claimsMachine) Restart(t *rapid.T) {
	i := m.drawAgent(t)
	if !rarely(t, "restart") {
		return
	}
	m.checkRequests(t)
	m.start(i)
}

func (m *claimsMachine) checkRequests(t *rapid.T) {
	for _, agent := range m.agents {
		for id, r := range agent.requests {
			if r.ran && r.refused {
				t.Fatalf("request %v ran, but its caller was told that it did not", id)
			}
		}
	}
}

// Check checks the invariants.
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
				m.checkAnswer(t, Key{k}, state.Answer)
			}
		}
	}
}

func TestCallRunsAtMostOnceWithOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newClaimsMachine()
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// TestReplicasAgree compares the replica of an agent that read all records with that
// of an agent that starts at the oldest kept offset, on keys whose records are
// all kept.
func TestReplicasAgree(t *testing.T) {
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
		fromFirst, fromOldest := NewReplica(0), NewReplica(oldest)
		before := make(map[Key]bool)
		for i, op := range ops {
			b := Batch{Incarnation: fmt.Sprint("i", op.Key[0]), Ops: []Op{op}}
			fromFirst.Apply(int64(i), b)
			if int64(i) >= oldest {
				fromOldest.Apply(int64(i), b)
			} else {
				before[op.Key] = true
			}
		}
		fromFirst.Expire(oldest)
		for k := byte(1); k <= 6; k++ {
			if key := (Key{k}); !before[key] {
				assert.DeepEqual(t, fromFirst.Lookup(key), fromOldest.Lookup(key))
			}
		}
	})
}
