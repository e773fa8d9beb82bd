package expertmap

// Phase is a coordinator's progress with its ballot.
type Phase int

// Phases in their order.
const (
	PhasePrepare Phase = iota
	PhaseStage
	PhaseHold
	PhaseConfirm
	PhaseDecide
	PhaseDone      // the decision is followed by all, or there was nothing to do
	PhaseAbandoned // a higher ballot or a restarted agent was met
)

// CoordinatorConfig is what a coordinator begins with.
type CoordinatorConfig struct {
	Rank         int
	Incarnation  string
	Ballot       Ballot   // of this rank, never used before
	Incarnations []string // of all ranks' agents, learnt before the first message
	Proposal     *Map     // map to change to, nil to mend only; its version is set when it is staged
	LeadSteps    int64    // steps from the newest known step to the change
}

// Coordinator carries one ballot: it first completes or cancels what an earlier
// one left behind, and proposes its map if there is nothing to mend. It is not
// safe for concurrent use.
type Coordinator struct {
	start    CoordinatorConfig
	phase    Phase
	states   []*EngineState // by rank, as last told
	answered []bool         // by rank, in this phase
	next     Map            // map being staged
	hold     Hold
	decision Decision
	proposed bool   // the change is the proposal
	higher   Ballot // highest ballot met
}

// NewCoordinator returns a coordinator in its first phase.
func NewCoordinator(start CoordinatorConfig) *Coordinator {
	ranks := len(start.Incarnations)
	return &Coordinator{
		start:    start,
		states:   make([]*EngineState, ranks),
		answered: make([]bool, ranks),
	}
}

// Phase returns the present phase.
func (c *Coordinator) Phase() Phase { return c.phase }

// Finished reports whether the coordinator has nothing more to do.
func (c *Coordinator) Finished() bool { return c.phase >= PhaseDone }

// HigherBallot returns the highest ballot that a rank refused this one for.
func (c *Coordinator) HigherBallot() Ballot { return c.higher }

// Activated reports whether the proposal is in use at all ranks.
func (c *Coordinator) Activated() bool {
	return c.phase == PhaseDone && c.proposed && c.decision.Activate
}

// Requests returns the requests that are not answered yet. They may be sent
// any number of times.
func (c *Coordinator) Requests() []Message {
	if c.Finished() {
		return nil
	}
	var requests []Message
	for rank, done := range c.answered {
		if !done {
			requests = append(requests, c.request(rank))
		}
	}
	return requests
}

func (c *Coordinator) request(rank int) Message {
	m := Message{
		From:            c.start.Rank,
		To:              rank,
		FromIncarnation: c.start.Incarnation,
		ToIncarnation:   c.start.Incarnations[rank],
		Ballot:          c.start.Ballot,
	}
	switch c.phase {
	case PhasePrepare:
		m.Kind = KindPrepare
	case PhaseStage:
		next := c.next
		m.Kind, m.Body.Map = KindStage, &next
	case PhaseHold:
		hold := c.hold
		m.Kind, m.Body.Hold = KindHold, &hold
	case PhaseConfirm:
		m.Kind = KindConfirm
	case PhaseDecide:
		decision := c.decision
		m.Kind, m.Body.Decision = KindDecide, &decision
	}
	return m
}

// expected is the answer that completes a phase.
var expected = map[Phase]Kind{
	PhasePrepare: KindPromise,
	PhaseStage:   KindStaged,
	PhaseHold:    KindHeld,
	PhaseConfirm: KindConfirmed,
	PhaseDecide:  KindFollowed,
}

// Handle takes one answer in. Answers to other ballots, of other incarnations
// or of earlier phases change nothing.
func (c *Coordinator) Handle(m Message) {
	if c.Finished() || m.Ballot != c.start.Ballot || m.From < 0 || m.From >= len(c.answered) {
		return
	}
	if m.ToIncarnation != c.start.Incarnation {
		return
	}
	if m.FromIncarnation != c.start.Incarnations[m.From] || m.Kind == KindWrongIncarnation {
		c.phase = PhaseAbandoned
		return
	}
	switch m.Kind {
	case KindRefused:
		c.higher = max(c.higher, m.Body.Promised)
		c.phase = PhaseAbandoned
	case KindTooLate:
		c.tooLate()
	case KindNotFollowed:
		c.phase = PhaseAbandoned
	case expected[c.phase]:
		c.take(m)
	}
}

// tooLate cancels a change that cannot be held any more at one rank.
func (c *Coordinator) tooLate() {
	if c.phase != PhaseHold {
		return
	}
	c.decision = c.cancel(c.hold.Instance)
	c.enter(PhaseConfirm)
}

func (c *Coordinator) take(m Message) {
	if m.Body.State != nil {
		c.states[m.From] = m.Body.State
	}
	c.answered[m.From] = true
	for _, done := range c.answered {
		if !done {
			return
		}
	}
	c.advance()
}

// advance enters the next phase once all ranks have answered.
func (c *Coordinator) advance() {
	switch c.phase {
	case PhasePrepare:
		c.choose()
	case PhaseStage:
		c.enter(PhaseHold)
	case PhaseHold:
		c.decision = c.activate()
		c.enter(PhaseDecide)
	case PhaseConfirm:
		c.enter(PhaseDecide)
	case PhaseDecide:
		c.phase = PhaseDone
	}
}

func (c *Coordinator) enter(phase Phase) {
	c.phase = phase
	clear(c.answered)
}
