package claims

// stage is the progress of an attempt at its own agent, which may be ahead of the
// log.
type stage int

const (
	undecided stage = iota // the claim is not decided yet
	won                    // the call may run
	running                // the call runs or has run
	finished               // the call has run; its op is still to be recorded in the log
)

// attempt is a claim of this incarnation that may still run, or whose outcome
// has not been read back from the log yet.
type attempt struct {
	key         Key
	fingerprint Fingerprint
	stage       stage
	answer      *Answer // in stage finished; nil if none came
}

// Claimant makes and tracks the claims of one incarnation of an agent. It is
// not safe for concurrent use.
type Claimant struct {
	replica     *Replica
	incarnation string
	serial      int64 // of the last claim
	attempts    map[ID]*attempt
}

// NewClaimant returns a claimant without claims. The incarnation must never
// have been used before.
func NewClaimant(incarnation string, replica *Replica) *Claimant {
	return &Claimant{replica: replica, incarnation: incarnation, attempts: make(map[ID]*attempt)}
}

// Replica returns the replica to which the claimant applies records.
func (c *Claimant) Replica() *Replica { return c.replica }

// Lookup returns the state of a key. It includes what this incarnation knows of
// its own runs and has not yet read back from the log.
func (c *Claimant) Lookup(key Key) State {
	state := c.replica.Lookup(key)
	switch state.Phase {
	case Free:
		return c.ownRun(key)
	case Claimed:
		if a, ok := c.attempts[state.Owner]; ok {
			return a.state(state.Owner)
		}
	case Answered, Unanswered:
	}
	return state
}

// ownRun returns the state of a run of this incarnation whose claim has expired
// from the log.
func (c *Claimant) ownRun(key Key) State {
	for id, a := range c.attempts {
		if a.key == key && a.stage >= running {
			return a.state(id)
		}
	}
	return State{}
}

// state returns the state of the attempt's key while the attempt holds it.
func (a *attempt) state(id ID) State {
	state := State{Phase: Claimed, Owner: id, Fingerprint: a.fingerprint}
	switch {
	case a.stage != finished:
	case a.answer == nil:
		state.Phase = Unanswered
	default:
		state.Phase, state.Answer = Answered, a.answer
	}
	return state
}

// Begin makes a claim and returns the op to append. The claim is undecided
// until Apply has processed the op. The op must not be appended twice.
func (c *Claimant) Begin(key Key, fingerprint Fingerprint) (ID, Op) {
	c.serial++
	id := ID{Incarnation: c.incarnation, Serial: c.serial}
	c.attempts[id] = &attempt{key: key, fingerprint: fingerprint}
	return id, Op{Kind: KindClaim, Key: key, Serial: id.Serial, Fingerprint: fingerprint}
}

// Apply applies a record to the replica and decides this incarnation's claims in
// it. It returns the keys touched and the releases to append: a claim that wins
// although it was withdrawn, or lost before, will never run and must not hold
// its key.
func (c *Claimant) Apply(offset int64, b Batch) (touched []Key, releases []Op) {
	touched = c.replica.Apply(offset, b)
	if b.Incarnation != c.incarnation {
		return touched, nil
	}
	for _, op := range b.Ops {
		id := ID{Incarnation: b.Incarnation, Serial: op.Serial}
		switch op.Kind {
		case KindClaim:
			if c.decideClaim(id, op.Key) {
				releases = append(releases, releaseOp(id, op.Key))
			}
		case KindAnswer, KindUnanswered:
			delete(c.attempts, id)
		case KindRelease:
		}
	}
	return touched, releases
}

// decideClaim updates the attempt of a claim of this incarnation from the state of
// its key. It reports whether the claim holds its key but has no attempt that could
// run the call.
func (c *Claimant) decideClaim(id ID, key Key) bool {
	state := c.replica.Lookup(key)
	holds := state.Phase == Claimed && state.Owner == id
	a, ok := c.attempts[id]
	switch {
	case holds && !ok:
		return true
	case !ok || a.stage != undecided:
	case holds:
		a.stage = won
	default:
		delete(c.attempts, id) // lost, and can never win
	}
	return false
}

func releaseOp(id ID, key Key) Op { return Op{Kind: KindRelease, Key: key, Serial: id.Serial} }

// Progress says whether the call of a claim may be started. Poll derives it from the
// stage of the claim's attempt.
type Progress int

// Values of Progress.
const (
	Undecided    Progress = iota
	Won                   // the call may be started
	NotStartable          // the call can no longer be started: the claim lost, was withdrawn or was started
)

// Poll returns the progress of a claim.
func (c *Claimant) Poll(id ID) Progress {
	a, ok := c.attempts[id]
	switch {
	case !ok || a.stage > won:
		return NotStartable
	case a.stage == won:
		return Won
	default:
		return Undecided
	}
}

// Start reports whether the call of a claim may run now. It returns true at
// most once for each claim, and only if the claim has won and is not withdrawn.
func (c *Claimant) Start(id ID) bool {
	a, ok := c.attempts[id]
	if !ok || a.stage != won {
		return false
	}
	a.stage = running
	return true
}

// Withdraw gives up a claim whose call has not started. The call will then
// never run, even if the claim appears in the log later. It returns the release
// to append, or false if the call has already started.
func (c *Claimant) Withdraw(id ID) (Op, bool) {
	a, ok := c.attempts[id]
	if !ok || a.stage > won {
		return Op{}, false
	}
	delete(c.attempts, id)
	return releaseOp(id, a.key), true
}

// Forget drops a claim whose append is known to have failed and can never take
// effect later. It needs no release.
func (c *Claimant) Forget(id ID) {
	if a, ok := c.attempts[id]; ok && a.stage == undecided {
		delete(c.attempts, id)
	}
}

// NotSent records that a started call has certainly not reached the service. It
// returns the release to append.
func (c *Claimant) NotSent(id ID) Op {
	a := c.attempts[id]
	delete(c.attempts, id)
	return releaseOp(id, a.key)
}

// Finish records how a started call ended and returns the op to append, which
// may be appended repeatedly until an append succeeds. A nil answer means that
// none came.
func (c *Claimant) Finish(id ID, answer *Answer) Op {
	a := c.attempts[id]
	a.stage, a.answer = finished, answer
	op := Op{Kind: KindUnanswered, Key: a.key, Serial: id.Serial}
	if answer != nil {
		op.Kind, op.Answer, op.Fingerprint = KindAnswer, answer, a.fingerprint
	}
	return op
}

// Expire drops the state that comes only from records below the oldest kept
// offset. An undecided claim whose key another claim holds is withdrawn first:
// it has already lost and must not win once the key is dropped. Expire returns
// the releases to append.
func (c *Claimant) Expire(oldest int64) []Op {
	var releases []Op
	for id, a := range c.attempts {
		if a.stage != undecided || !c.replica.expires(a.key, oldest) {
			continue
		}
		if release, ok := c.Withdraw(id); ok {
			releases = append(releases, release)
		}
	}
	c.replica.Expire(oldest)
	return releases
}

// Reset starts with a new replica at the oldest kept record, after the log has
// dropped records that were not read. Claims that have not started are
// withdrawn, since the records that decide them may be lost. It returns their
// releases.
func (c *Claimant) Reset(oldest int64) []Op {
	var releases []Op
	for id := range c.attempts {
		if release, ok := c.Withdraw(id); ok {
			releases = append(releases, release)
		}
	}
	c.replica = NewReplica(oldest)
	return releases
}
