package claims

// stage is how far an attempt has come at its own agent.
type stage int

const (
	pending stage = iota // claimed, not yet decided
	won                  // may run
	running              // runs or has run
	ended                // has run; the answer is on its way to the log
)

// attempt is a claim of this incarnation that is not settled yet.
type attempt struct {
	key         Key
	fingerprint Fingerprint
	stage       stage
	answer      *Answer // in stage ended; nil if none came
}

// Claimant is what one incarnation of an agent does about claims. It is not
// safe for use by several goroutines at once.
type Claimant struct {
	fold        *Fold
	incarnation string
	serial      int64
	attempts    map[ID]*attempt
}

// NewClaimant returns a claimant without memory. The incarnation must never
// have been used before.
func NewClaimant(incarnation string, fold *Fold) *Claimant {
	return &Claimant{fold: fold, incarnation: incarnation, attempts: make(map[ID]*attempt)}
}

// Fold returns the fold that the claimant follows.
func (c *Claimant) Fold() *Fold { return c.fold }

// Lookup returns the state of a key, with what this incarnation knows of its
// own runs before the log does.
func (c *Claimant) Lookup(key Key) State {
	state := c.fold.Lookup(key)
	switch state.Phase {
	case Free:
		return c.ownRun(key)
	case Claimed:
		if own, ok := c.attempts[state.Owner]; ok {
			return own.state(state.Owner)
		}
	case Answered, Unanswered:
	}
	return state
}

// ownRun finds a run of this incarnation whose claim the log has dropped.
func (c *Claimant) ownRun(key Key) State {
	for id, own := range c.attempts {
		if own.key == key && own.stage >= running {
			return own.state(id)
		}
	}
	return State{}
}

// state is the state of the attempt's key while it holds it.
func (a *attempt) state(id ID) State {
	state := State{Phase: Claimed, Owner: id, Fingerprint: a.fingerprint}
	switch {
	case a.stage != ended:
	case a.answer == nil:
		state.Phase = Unanswered
	default:
		state.Phase, state.Answer = Answered, a.answer
	}
	return state
}

// Begin makes a claim and returns the op to append. It is undecided until
// Apply has seen it, and never appended a second time under the same ID.
func (c *Claimant) Begin(key Key, fingerprint Fingerprint) (ID, Op) {
	c.serial++
	id := ID{Incarnation: c.incarnation, Serial: c.serial}
	c.attempts[id] = &attempt{key: key, fingerprint: fingerprint}
	return id, Op{Kind: KindClaim, Key: key, Serial: id.Serial, Fingerprint: fingerprint}
}

// Apply folds a record and settles this incarnation's claims in it. It returns
// the keys touched and releases to append: a claim that wins although it was
// withdrawn, or lost before, will never run and must not hold its key.
func (c *Claimant) Apply(offset int64, b Batch) (touched []Key, releases []Op) {
	touched = c.fold.Apply(offset, b)
	if b.Incarnation != c.incarnation {
		return touched, nil
	}
	for _, op := range b.Ops {
		id := ID{Incarnation: b.Incarnation, Serial: op.Serial}
		switch op.Kind {
		case KindClaim:
			if c.settle(id, op.Key) {
				releases = append(releases, releaseOf(id, op.Key))
			}
		case KindAnswer, KindUnanswered:
			delete(c.attempts, id)
		case KindRelease:
		}
	}
	return touched, releases
}

// settle follows the fold's verdict on an own claim. It reports whether the
// claim holds the key without an attempt that could run it.
func (c *Claimant) settle(id ID, key Key) bool {
	state := c.fold.Lookup(key)
	holds := state.Phase == Claimed && state.Owner == id
	own, live := c.attempts[id]
	switch {
	case holds && !live:
		return true
	case !live || own.stage != pending:
	case holds:
		own.stage = won
	default:
		delete(c.attempts, id) // lost, and dead from now on
	}
	return false
}

func releaseOf(id ID, key Key) Op { return Op{Kind: KindRelease, Key: key, Serial: id.Serial} }

// Progress is what Poll says of a claim.
type Progress int

// Values of Progress.
const (
	Undecided Progress = iota
	Won
	Closed // lost, withdrawn or finished
)

// Poll reports whether a claim is decided.
func (c *Claimant) Poll(id ID) Progress {
	own, live := c.attempts[id]
	switch {
	case !live || own.stage > won:
		return Closed
	case own.stage == won:
		return Won
	default:
		return Undecided
	}
}

// Start reports whether the call of a claim may run now. It does so at most
// once for each claim, and only for one that has won and is not withdrawn.
func (c *Claimant) Start(id ID) bool {
	own, live := c.attempts[id]
	if !live || own.stage != won {
		return false
	}
	own.stage = running
	return true
}

// Withdraw gives a claim up before it runs. From then on it never will, even
// if its append turns up later. It returns the release to append, and false if
// it is too late since the call runs.
func (c *Claimant) Withdraw(id ID) (Op, bool) {
	own, live := c.attempts[id]
	if !live || own.stage > won {
		return Op{}, false
	}
	delete(c.attempts, id)
	return releaseOf(id, own.key), true
}

// Forget drops a claim whose append has certainly not taken effect and never
// will. It needs no release.
func (c *Claimant) Forget(id ID) {
	if own, live := c.attempts[id]; live && own.stage == pending {
		delete(c.attempts, id)
	}
}

// NotSent says that a started call has certainly not reached the service. It
// returns the release to append.
func (c *Claimant) NotSent(id ID) Op {
	own := c.attempts[id]
	delete(c.attempts, id)
	return releaseOf(id, own.key)
}

// Finish says how a started call ended and returns the op to append, which
// may be appended again until that has worked. A nil answer means that none came.
func (c *Claimant) Finish(id ID, answer *Answer) Op {
	own := c.attempts[id]
	own.stage, own.answer = ended, answer
	op := Op{Kind: KindUnanswered, Key: own.key, Serial: id.Serial}
	if answer != nil {
		op.Kind, op.Answer, op.Fingerprint = KindAnswer, answer, own.fingerprint
	}
	return op
}

// Expire forgets what stands only in records below the oldest kept offset. A
// claim that is not decided yet although another holds its key is given up
// first: it has lost already, and must not win once the key is forgotten. It
// returns the releases.
func (c *Claimant) Expire(oldest int64) []Op {
	var releases []Op
	for id, own := range c.attempts {
		if own.stage != pending || !c.fold.expires(own.key, oldest) {
			continue
		}
		if release, ok := c.Withdraw(id); ok {
			releases = append(releases, release)
		}
	}
	c.fold.Expire(oldest)
	return releases
}

// Reset starts again from the oldest kept record, after the log has dropped
// records that were not read. Claims that have not started are given up, since
// the verdict on them may be lost. It returns their releases.
func (c *Claimant) Reset(oldest int64) []Op {
	var releases []Op
	for id := range c.attempts {
		if release, ok := c.Withdraw(id); ok {
			releases = append(releases, release)
		}
	}
	c.fold = NewFold(oldest)
	return releases
}
