package claims

// Phase is the progress of the call of a key, by the records of the log
// (Replica.Lookup) or as the agent that runs the call knows it (Claimant.Lookup).
type Phase int

// Values of Phase.
const (
	Free       Phase = iota // no claim holds the key
	Claimed                 // a claim has won; its incarnation may have run the call
	Answered                // the call ran and its answer is recorded
	Unanswered              // the call was sent and no answer came
)

// State is the state of a key.
type State struct {
	Phase       Phase
	Owner       ID // claim that won
	Fingerprint Fingerprint
	Answer      *Answer // in phase Answered
	OwnerGone   bool    // in phase Claimed: a later incarnation has started on the owner's target
}

// entry is a key that is not free.
type entry struct {
	State
	changedAt int64 // offset of the last record that changed it
}

// change is the position of one op that changed the replica, for expiry in offset
// order.
type change struct {
	key     Key
	claim   ID // the released claim, if the op is a release
	offset  int64
	stampMS int64 // see Batch.StampMS
}

// Replica is one agent's copy of the state of a service's claim stream, computed
// from the records up to an offset. All agents that have applied the same records
// have the same state.
type Replica struct {
	next               int64
	entries            map[Key]*entry
	released           map[ID]int64      // offset of the release, by released claim
	currentIncarnation map[string]string // incarnation that started last, by target
	replaced           map[string]bool   // incarnations whose target has started another one since
	changes            []change          // in offset order
	answersDropped     int               // number of leading changes whose answers are dropped
	expiredUntilMS     int64             // latest Batch.StampMS of records that may have expired
	firstOffset        int64             // offset at which this replica began
}

// NewReplica returns a replica that begins at the offset of the oldest kept record.
// It does not know older claims; see ExpiredUntilMS.
func NewReplica(oldest int64) *Replica {
	return &Replica{
		next:               oldest,
		firstOffset:        oldest,
		entries:            make(map[Key]*entry),
		released:           make(map[ID]int64),
		currentIncarnation: make(map[string]string),
		replaced:           make(map[string]bool),
	}
}

// Next returns the offset of the record that the replica needs next.
func (r *Replica) Next() int64 { return r.next }

// Len returns the number of keys held.
func (r *Replica) Len() int { return len(r.entries) }

// ExpiredUntilMS returns the Batch.StampMS up to which claims may be unknown to this
// replica because their records have expired. It is 0 if there are none.
func (r *Replica) ExpiredUntilMS() int64 { return r.expiredUntilMS }

// Lookup returns the state of a key.
func (r *Replica) Lookup(key Key) State {
	e, ok := r.entries[key]
	if !ok {
		return State{}
	}
	state := e.State
	state.OwnerGone = state.Phase == Claimed && r.replaced[state.Owner.Incarnation]
	return state
}

// Apply applies the record at the next offset and returns the keys it touched.
// A record that cannot be decoded is passed as the zero Batch and has no
// effect.
func (r *Replica) Apply(offset int64, b Batch) []Key {
	// The records before the first one that this replica reads have expired. Their
	// timestamps are taken to be no later than its own.
	if r.firstOffset > 0 && offset == r.firstOffset && len(b.Ops) > 0 {
		r.expiredUntilMS = max(r.expiredUntilMS, b.StampMS)
	}
	r.next = offset + 1
	touched := r.recordStart(b)
	for _, op := range b.Ops {
		id := ID{Incarnation: b.Incarnation, Serial: op.Serial}
		if r.applyOp(offset, id, op) {
			c := change{key: op.Key, offset: offset, stampMS: b.StampMS}
			if op.Kind == KindRelease {
				c.claim = id
			}
			r.changes = append(r.changes, c)
		}
		touched = append(touched, op.Key)
	}
	return touched
}

// recordStart records that an incarnation of a target has started and that the
// previous one is gone. It returns the claimed keys that the previous one
// holds.
func (r *Replica) recordStart(b Batch) []Key {
	previous := r.currentIncarnation[b.Target]
	if !b.Start || previous == b.Incarnation || r.replaced[b.Incarnation] {
		return nil
	}
	r.currentIncarnation[b.Target] = b.Incarnation
	if previous == "" {
		return nil
	}
	r.replaced[previous] = true
	var touched []Key
	for key, e := range r.entries {
		if e.Phase == Claimed && e.Owner.Incarnation == previous {
			touched = append(touched, key)
		}
	}
	return touched
}

// applyOp applies one op and reports whether it changed the replica.
func (r *Replica) applyOp(offset int64, id ID, op Op) bool {
	switch op.Kind {
	case KindClaim:
		return r.applyClaim(offset, id, op)
	case KindRelease:
		r.applyRelease(offset, id, op.Key)
		return true
	case KindAnswer:
		return r.applyAnswer(offset, id, op)
	case KindUnanswered:
		return r.applyUnanswered(offset, id, op.Key)
	default:
		return false
	}
}

// applyClaim lets the first claim of a free key win. A claim that comes after
// its own release is void. A claim that loses is not kept, so it cannot win
// when the key is released later.
func (r *Replica) applyClaim(offset int64, id ID, op Op) bool {
	if _, void := r.released[id]; void {
		return false
	}
	if _, held := r.entries[op.Key]; held {
		return false
	}
	state := State{Phase: Claimed, Owner: id, Fingerprint: op.Fingerprint}
	r.entries[op.Key] = &entry{State: state, changedAt: offset}
	return true
}

// applyRelease voids a claim by its ID, whether the claim comes before or after
// the release, and frees the key if the claim holds it.
func (r *Replica) applyRelease(offset int64, id ID, key Key) {
	r.released[id] = offset
	e, held := r.entries[key]
	if held && e.Phase == Claimed && e.Owner == id {
		delete(r.entries, key)
	}
}

// applyAnswer records the first answer of a key. Only a claim that has won
// writes an answer, so the answer is valid even if this replica has not seen that
// claim.
func (r *Replica) applyAnswer(offset int64, id ID, op Op) bool {
	if op.Answer == nil {
		return false
	}
	e, held := r.entries[op.Key]
	if !held {
		e = &entry{State: State{Fingerprint: op.Fingerprint}}
		r.entries[op.Key] = e
	}
	if e.Phase == Answered {
		return false
	}
	e.Phase, e.Owner, e.Answer, e.changedAt = Answered, id, op.Answer, offset
	return true
}

// applyUnanswered records that the call of the claim that holds the key got no
// answer.
func (r *Replica) applyUnanswered(offset int64, id ID, key Key) bool {
	e, held := r.entries[key]
	if !held || e.Phase != Claimed || e.Owner != id {
		return false
	}
	e.Phase, e.changedAt = Unanswered, offset
	return true
}

// expires reports whether the key is held and Expire would drop it.
func (r *Replica) expires(key Key, oldest int64) bool {
	e, held := r.entries[key]
	return held && e.changedAt < oldest
}

// Expire drops the state that comes only from records below the oldest kept
// offset.
func (r *Replica) Expire(oldest int64) {
	count := 0
	for _, c := range r.changes {
		if c.offset >= oldest {
			break
		}
		count++
		r.expiredUntilMS = max(r.expiredUntilMS, c.stampMS)
		if e, held := r.entries[c.key]; held && e.changedAt == c.offset {
			delete(r.entries, c.key)
		}
		if r.released[c.claim] == c.offset {
			delete(r.released, c.claim)
		}
	}
	r.changes = r.changes[count:]
	r.answersDropped = max(0, r.answersDropped-count)
}

// DropAnswers drops the headers and bodies of answers whose Batch.StampMS is
// before beforeMS, so that memory holds answers only for the window of a key. The
// keys stay.
func (r *Replica) DropAnswers(beforeMS int64) {
	for r.answersDropped < len(r.changes) && r.changes[r.answersDropped].stampMS < beforeMS {
		c := r.changes[r.answersDropped]
		r.answersDropped++
		if e, held := r.entries[c.key]; held && e.changedAt == c.offset && e.Answer != nil {
			e.Answer = &Answer{Status: e.Answer.Status, Dropped: true}
		}
	}
}
