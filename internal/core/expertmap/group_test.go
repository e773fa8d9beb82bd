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

// cluster is a group with its agents and a network that loses, repeats and
// reorders messages.
type cluster struct {
	t            *rapid.T
	group        *ranks.Group
	size         int
	acceptors    []*expertmap.Acceptor
	coordinators []*expertmap.Coordinator
	owner        []string // incarnation of each coordinator's agent
	known        [][]string
	flying       []expertmap.Message
	agents       int
	proposals    int
	seen         expertmap.Ballot
	used         map[string]expertmap.Ballot // by incarnation of the agent
}

func newCluster(t *rapid.T, size int, checkFencing bool) *cluster {
	c := &cluster{t: t, size: size, used: map[string]expertmap.Ballot{}}
	c.group = ranks.NewGroup(size, expertmap.Map{Payload: []byte("first")}, checkFencing)
	c.acceptors = make([]*expertmap.Acceptor, size)
	c.known = make([][]string, size)
	for r := range size {
		c.startAgent(r)
	}
	for r := range size {
		c.discover(r)
	}
	return c
}

func (c *cluster) startAgent(r int) {
	c.agents++
	c.acceptors[r] = expertmap.NewAcceptor(r, "agent-"+strconv.Itoa(c.agents), c.group.Engine(r))
	c.known[r] = make([]string, c.size)
	c.discover(r)
}

// discover tells an agent the present incarnations of the others.
func (c *cluster) discover(r int) {
	for other, a := range c.acceptors {
		if a != nil {
			c.known[r][other] = a.Incarnation()
		}
	}
}

// coordinate starts a coordinator at a rank with what the rank knows.
func (c *cluster) coordinate(r int, ballot expertmap.Ballot, propose bool) {
	start := expertmap.CoordinatorConfig{
		Rank:         r,
		Incarnation:  c.acceptors[r].Incarnation(),
		Ballot:       ballot,
		Incarnations: append([]string(nil), c.known[r]...),
		LeadSteps:    leadSteps,
	}
	if propose {
		c.proposals++
		start.Proposal = &expertmap.Map{Payload: fmt.Appendf(nil, "map-%d", c.proposals)}
	}
	c.coordinators = append(c.coordinators, expertmap.NewCoordinator(start))
	c.owner = append(c.owner, start.Incarnation)
}

func (c *cluster) send(coordinator *expertmap.Coordinator) {
	c.flying = append(c.flying, coordinator.Requests()...)
}

// deliver hands a message over as it would cross the wire.
func (c *cluster) deliver(m expertmap.Message) {
	w, err := expertmap.Encode("group", m)
	assert.NilError(c.t, err)
	m, err = expertmap.Decode(w)
	assert.NilError(c.t, err)
	for i, coordinator := range c.coordinators {
		if c.owner[i] == m.ToIncarnation && isAnswer(m.Kind) {
			coordinator.Handle(m)
		}
	}
	if isAnswer(m.Kind) {
		return
	}
	answer, err := c.acceptors[m.To].Handle(context.Background(), m)
	c.t.Logf("%s %d to %d ballot %x: %s %v, body %s; truth %+v", m.Kind, m.From, m.To, m.Ballot>>32, answer.Kind, err, w.GetPayload(), c.group.Truth())
	if err == nil {
		c.flying = append(c.flying, answer)
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

func (c *cluster) take(i int) expertmap.Message {
	m := c.flying[i]
	c.flying[i] = c.flying[len(c.flying)-1]
	c.flying = c.flying[:len(c.flying)-1]
	return m
}

func (c *cluster) rank(t *rapid.T) int { return rapid.IntRange(0, c.size-1).Draw(t, "rank") }

func (c *cluster) restartAgent(r int) {
	gone := c.acceptors[r].Incarnation()
	for i := len(c.owner) - 1; i >= 0; i-- {
		if c.owner[i] == gone {
			c.owner = append(c.owner[:i], c.owner[i+1:]...)
			c.coordinators = append(c.coordinators[:i], c.coordinators[i+1:]...)
		}
	}
	c.startAgent(r)
}

func (c *cluster) nextBallot(t *rapid.T, r int) expertmap.Ballot {
	seen := c.seen
	if rapid.Bool().Draw(t, "stale") {
		seen = max(0, seen-expertmap.Ballot(rapid.IntRange(0, 3).Draw(t, "behind"))<<32)
	}
	return c.ballotAbove(seen, r)
}

// ballotAbove returns a ballot that the rank's agent has not used yet.
func (c *cluster) ballotAbove(seen expertmap.Ballot, r int) expertmap.Ballot {
	incarnation := c.acceptors[r].Incarnation()
	ballot := expertmap.NextBallot(max(seen, c.used[incarnation]), incarnation)
	c.used[incarnation] = ballot
	c.seen = max(c.seen, ballot)
	return ballot
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":             func(*rapid.T) { assert.Equal(c.t, c.group.Truth().Mixed, int64(0)) },
		"deliver":      c.deliverSome,
		"advance":      c.advance,
		"advance more": c.advance,
		"resend": func(t *rapid.T) {
			if len(c.coordinators) > 0 {
				c.send(c.coordinators[rapid.IntRange(0, len(c.coordinators)-1).Draw(t, "coordinator")])
			}
		},
		"step": func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				c.group.Begin(c.rank(t))
			}
		},
		"lose": func(t *rapid.T) {
			if len(c.flying) > 0 {
				c.take(rapid.IntRange(0, len(c.flying)-1).Draw(t, "message"))
			}
		},
		"coordinate": func(t *rapid.T) {
			r := c.rank(t)
			if rapid.Bool().Draw(t, "discover") {
				c.discover(r)
			}
			c.coordinate(r, c.nextBallot(t, r), rapid.Bool().Draw(t, "propose"))
			c.send(c.coordinators[len(c.coordinators)-1])
		},
		"restart agent": func(t *rapid.T) {
			if rapid.IntRange(0, 1).Draw(t, "seldom") == 0 {
				c.restartAgent(c.rank(t))
			}
		},
		"replace rank": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "seldom") > 0 {
				return
			}
			r := c.rank(t)
			c.group.Replace(r, expertmap.Map{Payload: []byte("first")})
			c.restartAgent(r)
		},
	}
}

// deliverSome delivers a few messages in any order, some of them twice.
func (c *cluster) deliverSome(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "count") {
		if len(c.flying) == 0 {
			return
		}
		i := rapid.IntRange(0, len(c.flying)-1).Draw(t, "message")
		if rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
			c.deliver(c.flying[i])
			continue
		}
		c.deliver(c.take(i))
	}
}

// advance carries one coordinator some way: most of its messages arrive at
// once, and the others stay behind and arrive late or never.
func (c *cluster) advance(t *rapid.T) {
	if len(c.coordinators) == 0 {
		return
	}
	i := rapid.IntRange(max(0, len(c.coordinators)-3), len(c.coordinators)-1).Draw(t, "coordinator")
	coordinator := c.coordinators[i]
	for range rapid.IntRange(1, 5).Draw(t, "rounds") {
		behind := c.flying
		c.flying = nil
		c.send(coordinator)
		for len(c.flying) > 0 {
			m := c.take(0)
			switch rapid.IntRange(0, 9).Draw(t, "fate") {
			case 0:
				behind = append(behind, m)
			case 1:
				behind = append(behind, m)
				c.deliver(m)
			default:
				c.deliver(m)
			}
		}
		c.flying = behind
	}
}

// settle ends all faults and lets the lowest rank coordinate until the group
// advances on its proposal.
func (c *cluster) settle() {
	c.flying = nil
	const tries = 8
	for range tries {
		c.discover(0)
		c.coordinate(0, c.ballotAbove(c.seen, 0), true)
		last := c.coordinators[len(c.coordinators)-1]
		c.runFairly(last)
		if last.Activated() {
			c.checkAdvances()
			return
		}
		c.stepAll()
	}
	c.t.Fatalf("no change was activated in %d fair tries", tries)
}

func (c *cluster) runFairly(coordinator *expertmap.Coordinator) {
	const rounds = 20
	for range rounds {
		c.send(coordinator)
		for len(c.flying) > 0 {
			c.deliver(c.take(0))
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

func (c *cluster) checkAdvances() {
	before := c.group.Truth().Steps
	c.stepAll()
	truth := c.group.Truth()
	assert.Assert(c.t, truth.Steps >= before+leadSteps, "stopped at step %v", truth.At)
	assert.Equal(c.t, truth.Mixed, int64(0))
	for _, version := range truth.Versions {
		assert.Equal(c.t, version, truth.Versions[0])
	}
}

// TestOneMapInEachStep loses, repeats and reorders messages, restarts agents,
// replaces ranks and lets coordinators race: no step has two maps, and once the
// faults end a change goes through.
func TestOneMapInEachStep(t *testing.T) {
	for _, checkFencing := range []bool{false, true} {
		t.Run(fmt.Sprintf("fencing checked %v", checkFencing), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				c := newCluster(t, rapid.IntRange(2, 4).Draw(t, "ranks"), checkFencing)
				c.settle()
				t.Repeat(c.actions())
				c.settle()
			})
		})
	}
}
