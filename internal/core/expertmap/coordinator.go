package expertmap

// Phase is a phase of a coordinator's ballot.
type Phase int

// Phases, in order.
const (
	PhasePrepare Phase = iota
	PhaseStage
	PhaseHold
	PhaseConfirm
	PhaseDecide
	PhaseDone      // all ranks have followed the decision, or there was nothing to do
	PhaseAbandoned // a rank refused, could not follow, or its agent has restarted
)

// CoordinatorConfig configures the coordinator of one ballot.
type CoordinatorConfig struct {
	Rank         int
	Incarnation  string
	Ballot       Ballot   // must not have been used before by this incarnation of the agent
	Incarnations []string // of all ranks' agents, read before the first message
	Proposal     *Map     // map to propose, or nil for none; its version is set when it is staged
	LeadSteps    int64    // steps from the newest known step to the activation
}

// Coordinator runs one ballot. It completes or cancels a change that an earlier
// ballot left unfinished, starts a new epoch if one is needed, and otherwise
// proposes its map. It is not safe for concurrent use.
type Coordinator struct {
	config       CoordinatorConfig
	phase        Phase
	states       []*EngineState // by rank, as last reported
	answered     []bool         // by rank, in this phase
	next         Map            // map being staged
	hold         Hold
	decision     Decision
	proposing    bool   // this ballot proposes the configured map
	higherBallot Ballot // highest ballot in a refusal
}

// NewCoordinator returns a coordinator in its first phase.
func NewCoordinator(config CoordinatorConfig) *Coordinator {
	ranks := len(config.Incarnations)
	return &Coordinator{
		config:   config,
		states:   make([]*EngineState, ranks),
		answered: make([]bool, ranks),
	}
}

// Phase returns the current phase.
func (c *Coordinator) Phase() Phase { return c.phase }

// Finished reports whether the ballot is done or abandoned.
func (c *Coordinator) Finished() bool { return c.phase >= PhaseDone }

// HigherBallot returns the highest ballot that a refusing rank had promised, or
// 0 if no rank refused.
func (c *Coordinator) HigherBallot() Ballot { return c.higherBallot }

// Activated reports whether the proposal is in use at all ranks.
func (c *Coordinator) Activated() bool {
	return c.phase == PhaseDone && c.proposing && c.decision.Activate
}

// Requests returns the requests of this phase that are not answered yet. They
// may be sent any number of times.
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
		From:            c.config.Rank,
		To:              rank,
		FromIncarnation: c.config.Incarnation,
		ToIncarnation:   c.config.Incarnations[rank],
		Ballot:          c.config.Ballot,
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

// answerKind is the kind of answer that each phase waits for.
var answerKind = map[Phase]Kind{
	PhasePrepare: KindPromise,
	PhaseStage:   KindStaged,
	PhaseHold:    KindHeld,
	PhaseConfirm: KindConfirmed,
	PhaseDecide:  KindFollowed,
}

// Handle processes one answer. Answers to other ballots, for other incarnations
// of this agent or from earlier phases change nothing. An answer from a new
// incarnation of a rank's agent abandons the ballot.
func (c *Coordinator) Handle(m Message) {
	if c.Finished() || m.Ballot != c.config.Ballot || m.From < 0 || m.From >= len(c.answered) {
		return
	}
	if m.ToIncarnation != c.config.Incarnation {
		return
	}
	if m.FromIncarnation != c.config.Incarnations[m.From] || m.Kind == KindWrongIncarnation {
		c.phase = PhaseAbandoned
		return
	}
	switch m.Kind {
	case KindRefused:
		c.higherBallot = max(c.higherBallot, m.Body.Promised)
		c.phase = PhaseAbandoned
	case KindTooLate:
		c.cancelTooLate()
	case KindNotFollowed:
		c.phase = PhaseAbandoned
	case answerKind[c.phase]:
		c.recordAnswer(m)
	}
}

// cancelTooLate cancels a change that some rank can no longer hold for.
func (c *Coordinator) cancelTooLate() {
	if c.phase != PhaseHold {
		return
	}
	c.decision = c.cancelDecision(c.hold.Instance)
	c.enter(PhaseConfirm)
}

// recordAnswer records a rank's answer and advances once all ranks have
// answered.
func (c *Coordinator) recordAnswer(m Message) {
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

// advance enters the phase that follows a completed one.
func (c *Coordinator) advance() {
	switch c.phase {
	case PhasePrepare:
		c.chooseAction()
	case PhaseStage:
		c.enter(PhaseHold)
	case PhaseHold:
		c.decision = c.activateDecision()
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
