package claims

// Phase is the progress of the call of a key.
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

// change is the position of one op that changed the fold, for expiry in offset
// order.
type change struct {
	key     Key
	claim   ID // the released claim, if the op is a release
	offset  int64
	stampMS int64
}

// Fold is the state of one service's claim stream at an offset, computed from
// the records up to it. All agents that have applied the same records have the
// same state.
type Fold struct {
	next               int64
	entries            map[Key]*entry
	released           map[ID]int64      // offset of the release, by released claim
	currentIncarnation map[string]string // incarnation that started last, by target
	replaced           map[string]bool   // incarnations whose target has started another one since
	changes            []change          // in offset order
	answersDropped     int               // number of leading changes whose answers are dropped
	horizonMS          int64             // latest author timestamp of records that may have expired
	firstOffset        int64             // offset at which this fold began
}

// NewFold returns a fold that begins at the offset of the oldest kept record.
// It does not know older claims; see HorizonMS.
func NewFold(oldest int64) *Fold {
	return &Fold{
		next:               oldest,
		firstOffset:        oldest,
		entries:            make(map[Key]*entry),
		released:           make(map[ID]int64),
		currentIncarnation: make(map[string]string),
		replaced:           make(map[string]bool),
	}
}

// Next returns the offset of the record that the fold needs next.
func (f *Fold) Next() int64 { return f.next }

// Len returns the number of keys held.
func (f *Fold) Len() int { return len(f.entries) }

// HorizonMS returns the author's timestamp, in Unix milliseconds, up to which
// claims may be unknown to this fold because their records have expired. It is
// 0 if there are none.
func (f *Fold) HorizonMS() int64 { return f.horizonMS }

// Lookup returns the state of a key.
func (f *Fold) Lookup(key Key) State {
	e, ok := f.entries[key]
	if !ok {
		return State{}
	}
	state := e.State
	state.OwnerGone = state.Phase == Claimed && f.replaced[state.Owner.Incarnation]
	return state
}

// Apply applies the record at the next offset and returns the keys it touched.
// A record that cannot be decoded is passed as the zero Batch and has no
// effect.
func (f *Fold) Apply(offset int64, b Batch) []Key {
	if f.firstOffset > 0 && offset == f.firstOffset && len(b.Ops) > 0 {
		f.horizonMS = max(f.horizonMS, b.StampMS)
	}
	f.next = offset + 1
	touched := f.recordStart(b)
	for _, op := range b.Ops {
		id := ID{Incarnation: b.Incarnation, Serial: op.Serial}
		if f.applyOp(offset, id, op) {
			m := change{key: op.Key, offset: offset, stampMS: b.StampMS}
			if op.Kind == KindRelease {
				m.claim = id
			}
			f.changes = append(f.changes, m)
		}
		touched = append(touched, op.Key)
	}
	return touched
}

// recordStart records that an incarnation of a target has started and that the
// previous one is gone. It returns the claimed keys that the previous one
// holds.
func (f *Fold) recordStart(b Batch) []Key {
	previous := f.currentIncarnation[b.Target]
	if !b.Start || previous == b.Incarnation || f.replaced[b.Incarnation] {
		return nil
	}
	f.currentIncarnation[b.Target] = b.Incarnation
	if previous == "" {
		return nil
	}
	f.replaced[previous] = true
	var touched []Key
	for key, e := range f.entries {
		if e.Phase == Claimed && e.Owner.Incarnation == previous {
			touched = append(touched, key)
		}
	}
	return touched
}

// applyOp applies one op and reports whether it changed the fold.
func (f *Fold) applyOp(offset int64, id ID, op Op) bool {
	switch op.Kind {
	case KindClaim:
		return f.applyClaim(offset, id, op)
	case KindRelease:
		f.applyRelease(offset, id, op.Key)
		return true
	case KindAnswer:
		return f.applyAnswer(offset, id, op)
	case KindUnanswered:
		return f.applyUnanswered(offset, id, op.Key)
	default:
		return false
	}
}

// applyClaim lets the first claim of a free key win. A claim that comes after
// its own release is void. A claim that loses is not kept, so it cannot win
// when the key is released later.
func (f *Fold) applyClaim(offset int64, id ID, op Op) bool {
	if _, void := f.released[id]; void {
		return false
	}
	if _, held := f.entries[op.Key]; held {
		return false
	}
	state := State{Phase: Claimed, Owner: id, Fingerprint: op.Fingerprint}
	f.entries[op.Key] = &entry{State: state, changedAt: offset}
	return true
}

// applyRelease voids a claim by its ID, whether the claim comes before or after
// the release, and frees the key if the claim holds it.
func (f *Fold) applyRelease(offset int64, id ID, key Key) {
	f.released[id] = offset
	e, held := f.entries[key]
	if held && e.Phase == Claimed && e.Owner == id {
		delete(f.entries, key)
	}
}

// applyAnswer records the first answer of a key. Only a claim that has won
// writes an answer, so the answer is valid even if this fold has not seen that
// claim.
func (f *Fold) applyAnswer(offset int64, id ID, op Op) bool {
	if op.Answer == nil {
		return false
	}
	e, held := f.entries[op.Key]
	if !held {
		e = &entry{State: State{Fingerprint: op.Fingerprint}}
		f.entries[op.Key] = e
	}
	if e.Phase == Answered {
		return false
	}
	e.Phase, e.Owner, e.Answer, e.changedAt = Answered, id, op.Answer, offset
	return true
}

// applyUnanswered records that the call of the claim that holds the key got no
// answer.
func (f *Fold) applyUnanswered(offset int64, id ID, key Key) bool {
	e, held := f.entries[key]
	if !held || e.Phase != Claimed || e.Owner != id {
		return false
	}
	e.Phase, e.changedAt = Unanswered, offset
	return true
}

// expires reports whether the key is held and Expire would drop it.
func (f *Fold) expires(key Key, oldest int64) bool {
	e, held := f.entries[key]
	return held && e.changedAt < oldest
}

// Expire drops the state that comes only from records below the oldest kept
// offset.
func (f *Fold) Expire(oldest int64) {
	count := 0
	for _, m := range f.changes {
		if m.offset >= oldest {
			break
		}
		count++
		f.horizonMS = max(f.horizonMS, m.stampMS)
		if e, held := f.entries[m.key]; held && e.changedAt == m.offset {
			delete(f.entries, m.key)
		}
		if f.released[m.claim] == m.offset {
			delete(f.released, m.claim)
		}
	}
	f.changes = f.changes[count:]
	f.answersDropped = max(0, f.answersDropped-count)
}

// DropAnswers drops the headers and bodies of answers whose author's timestamp
// is before beforeMS, so that memory holds answers only for the window of a
// key. The keys stay.
func (f *Fold) DropAnswers(beforeMS int64) {
	for f.answersDropped < len(f.changes) && f.changes[f.answersDropped].stampMS < beforeMS {
		m := f.changes[f.answersDropped]
		f.answersDropped++
		if e, held := f.entries[m.key]; held && e.changedAt == m.offset && e.Answer != nil {
			e.Answer = &Answer{Status: e.Answer.Status, Dropped: true}
		}
	}
}
