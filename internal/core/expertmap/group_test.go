package expertmap_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quetzalbend/internal/app/standin/ranks"
	"quetzalbend/internal/core/expertmap"
)

const leadSteps = 3

// cluster is a group with its agents and a network that loses, duplicates and
// reorders messages.
type cluster struct {
	t                 *rapid.T
	group             *ranks.Group
	size              int
	acceptors         []*expertmap.Acceptor
	coordinators      []*expertmap.Coordinator
	coordinatorAgents []string // incarnation of the agent, by coordinator
	knownIncarnations [][]string
	inFlight          []expertmap.Message
	agentsStarted     int
	proposals         int
	highestBallot     expertmap.Ballot
	usedBallots       map[string]expertmap.Ballot // by incarnation of the agent
}

func newCluster(t *rapid.T, size int, checkFencing bool) *cluster {
	c := &cluster{t: t, size: size, usedBallots: map[string]expertmap.Ballot{}}
	c.group = ranks.NewGroup(size, expertmap.Map{Payload: []byte("first")}, checkFencing)
	c.acceptors = make([]*expertmap.Acceptor, size)
	c.knownIncarnations = make([][]string, size)
	for r := range size {
		c.startAgent(r)
	}
	for r := range size {
		c.discover(r)
	}
	return c
}

func (c *cluster) startAgent(r int) {
	c.agentsStarted++
	c.acceptors[r] = expertmap.NewAcceptor(r, "agent-"+strconv.Itoa(c.agentsStarted), c.group.Engine(r))
	c.knownIncarnations[r] = make([]string, c.size)
	c.discover(r)
}

// discover tells a rank's agent the current incarnations of all agents.
func (c *cluster) discover(r int) {
	for other, a := range c.acceptors {
		if a != nil {
			c.knownIncarnations[r][other] = a.Incarnation()
		}
	}
}

// coordinate starts a coordinator at a rank with the incarnations that the rank
// knows.
func (c *cluster) coordinate(r int, ballot expertmap.Ballot, propose bool) {
	config := expertmap.CoordinatorConfig{
		Rank:         r,
		Incarnation:  c.acceptors[r].Incarnation(),
		Ballot:       ballot,
		Incarnations: append([]string(nil), c.knownIncarnations[r]...),
		LeadSteps:    leadSteps,
	}
	if propose {
		c.proposals++
		config.Proposal = &expertmap.Map{Payload: fmt.Appendf(nil, "map-%d", c.proposals)}
	}
	c.coordinators = append(c.coordinators, expertmap.NewCoordinator(config))
	c.coordinatorAgents = append(c.coordinatorAgents, config.Incarnation)
}

func (c *cluster) send(coordinator *expertmap.Coordinator) {
	c.inFlight = append(c.inFlight, coordinator.Requests()...)
}

// deliver delivers a message in its wire form.
func (c *cluster) deliver(m expertmap.Message) {
	w, err := expertmap.Encode("group", m)
	assert.NilError(c.t, err)
	m, err = expertmap.Decode(w)
	assert.NilError(c.t, err)
	for i, coordinator := range c.coordinators {
		if c.coordinatorAgents[i] == m.ToIncarnation && isAnswer(m.Kind) {
			coordinator.Handle(m)
		}
	}
	if isAnswer(m.Kind) {
		return
	}
	answer, err := c.acceptors[m.To].Handle(context.Background(), m)
	c.t.Logf("%s %d to %d ballot %x: %s %v, body %s; truth %+v", m.Kind, m.From, m.To, m.Ballot>>32, answer.Kind, err, w.GetPayload(), c.group.Truth())
	if err == nil {
		c.inFlight = append(c.inFlight, answer)
	}
}

func isAnswer(kind expertmap.Kind) bool {
	switch kind {
	case expertmap.KindHello, expertmap.KindPrepare, expertmap.KindStage, expertmap.KindHold, expertmap.KindConfirm, expertmap.KindDecide:
		return false
	default:
		return true
	}
}

func (c *cluster) takeMessage(i int) expertmap.Message {
	m := c.inFlight[i]
	c.inFlight[i] = c.inFlight[len(c.inFlight)-1]
	c.inFlight = c.inFlight[:len(c.inFlight)-1]
	return m
}

func (c *cluster) drawRank(t *rapid.T) int { return rapid.IntRange(0, c.size-1).Draw(t, "rank") }

func (c *cluster) restartAgent(r int) {
	oldIncarnation := c.acceptors[r].Incarnation()
	for i := len(c.coordinatorAgents) - 1; i >= 0; i-- {
		if c.coordinatorAgents[i] == oldIncarnation {
			c.coordinatorAgents = append(c.coordinatorAgents[:i], c.coordinatorAgents[i+1:]...)
			c.coordinators = append(c.coordinators[:i], c.coordinators[i+1:]...)
		}
	}
	c.startAgent(r)
}

func (c *cluster) nextBallot(t *rapid.T, r int) expertmap.Ballot {
	highestBallot := c.highestBallot
	if rapid.Bool().Draw(t, "stale") {
		highestBallot = max(0, highestBallot-expertmap.Ballot(rapid.IntRange(0, 3).Draw(t, "behind"))<<32)
	}
	return c.ballotAbove(highestBallot, r)
}

// ballotAbove returns a ballot that the rank's agent has not used yet.
func (c *cluster) ballotAbove(highestBallot expertmap.Ballot, r int) expertmap.Ballot {
	incarnation := c.acceptors[r].Incarnation()
	ballot := expertmap.NextBallot(max(highestBallot, c.usedBallots[incarnation]), incarnation)
	c.usedBallots[incarnation] = ballot
	c.highestBallot = max(c.highestBallot, ballot)
	return ballot
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":             func(*rapid.T) { assert.Equal(c.t, c.group.Truth().Mixed, int64(0)) },
		"deliver":      c.deliverSome,
		"advance":      c.advance,
		"advance more": c.advance, // listed twice so that it is drawn more often
		"resend": func(t *rapid.T) {
			if len(c.coordinators) > 0 {
				c.send(c.coordinators[rapid.IntRange(0, len(c.coordinators)-1).Draw(t, "coordinator")])
			}
		},
		"step": func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				c.group.Begin(c.drawRank(t))
			}
		},
		"lose": func(t *rapid.T) {
			if len(c.inFlight) > 0 {
				c.takeMessage(rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message"))
			}
		},
		"coordinate": func(t *rapid.T) {
			r := c.drawRank(t)
			if rapid.Bool().Draw(t, "discover") {
				c.discover(r)
			}
			c.coordinate(r, c.nextBallot(t, r), rapid.Bool().Draw(t, "propose"))
			c.send(c.coordinators[len(c.coordinators)-1])
		},
		"restart agent": func(t *rapid.T) {
			if rapid.IntRange(0, 1).Draw(t, "seldom") == 0 {
				c.restartAgent(c.drawRank(t))
			}
		},
		"replace rank": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "seldom") > 0 {
				return
			}
			r := c.drawRank(t)
			c.group.Replace(r, expertmap.Map{Payload: []byte("first")})
			c.restartAgent(r)
		},
	}
}

// deliverSome delivers a few messages in random order, some of them twice.
func (c *cluster) deliverSome(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "count") {
		if len(c.inFlight) == 0 {
			return
		}
		i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message")
		if rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
			c.deliver(c.inFlight[i])
			continue
		}
		c.deliver(c.takeMessage(i))
	}
}

// advance runs some rounds of one coordinator. Most messages arrive at once;
// the others are delayed and arrive late or never.
func (c *cluster) advance(t *rapid.T) {
	if len(c.coordinators) == 0 {
		return
	}
	i := rapid.IntRange(max(0, len(c.coordinators)-3), len(c.coordinators)-1).Draw(t, "coordinator")
	coordinator := c.coordinators[i]
	for range rapid.IntRange(1, 5).Draw(t, "rounds") {
		delayed := c.inFlight
		c.inFlight = nil
		c.send(coordinator)
		for len(c.inFlight) > 0 {
			m := c.takeMessage(0)
			switch rapid.IntRange(0, 9).Draw(t, "fate") {
			case 0:
				delayed = append(delayed, m)
			case 1:
				delayed = append(delayed, m)
				c.deliver(m)
			default:
				c.deliver(m)
			}
		}
		c.inFlight = delayed
	}
}

// changeWithoutFaults ends all faults, lets the lowest rank coordinate until
// its proposal is activated, and checks that the group then advances.
func (c *cluster) changeWithoutFaults() {
	c.inFlight = nil
	const tries = 8
	for range tries {
		c.discover(0)
		c.coordinate(0, c.ballotAbove(c.highestBallot, 0), true)
		last := c.coordinators[len(c.coordinators)-1]
		c.runWithoutFaults(last)
		if last.Activated() {
			c.checkStepsAdvance()
			return
		}
		c.stepAll()
	}
	c.t.Fatalf("no change was activated in %d tries without faults", tries)
}

func (c *cluster) runWithoutFaults(coordinator *expertmap.Coordinator) {
	const rounds = 20
	for range rounds {
		c.send(coordinator)
		for len(c.inFlight) > 0 {
			c.deliver(c.takeMessage(0))
		}
		if coordinator.Finished() {
			return
		}
	}
}

func (c *cluster) stepAll() {
	for range 4 * leadSteps {
		for r := range c.size {
			c.group.Begin(r)
		}
	}
}

func (c *cluster) checkStepsAdvance() {
	before := c.group.Truth().Steps
	c.stepAll()
	truth := c.group.Truth()
	assert.Assert(c.t, truth.Steps >= before+leadSteps, "stopped at step %v", truth.At)
	assert.Equal(c.t, truth.Mixed, int64(0))
	for _, version := range truth.Versions {
		assert.Equal(c.t, version, truth.Versions[0])
	}
}

// TestOneMapInEachStep loses, duplicates and reorders messages, restarts
// agents, replaces ranks and runs competing coordinators. It checks that no
// step uses two maps and that a change is activated once the faults end.
func TestOneMapInEachStep(t *testing.T) {
	for _, checkFencing := range []bool{false, true} {
		t.Run(fmt.Sprintf("fencing checked %v", checkFencing), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				c := newCluster(t, rapid.IntRange(2, 4).Draw(t, "ranks"), checkFencing)
				c.changeWithoutFaults()
				t.Repeat(c.actions())
				c.changeWithoutFaults()
			})
		})
	}
}
