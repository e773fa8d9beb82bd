package claims

// Phase is how far the call of a key has come.
type Phase int

// Phases.
const (
	Free       Phase = iota // nobody holds the key
	Claimed                 // a claim has won; its incarnation may have run the call
	Answered                // the call ran and its answer is recorded
	Unanswered              // the call was sent and no answer came
)

// State is what the fold holds about a key.
type State struct {
	Phase       Phase
	Owner       ID // of the claim that won
	Fingerprint Fingerprint
	Answer      *Answer // in phase Answered
	OwnerGone   bool    // in phase Claimed: the owner's target runs a later incarnation
}

// entry is a key that is not free.
type entry struct {
	State
	touched int64 // offset of the last record that changed it
}

// mark is the place of one change, for expiry in offset order.
type mark struct {
	key     Key
	claim   ID // set if the change is a release
	offset  int64
	stampMS int64
}

// Fold is the state of one service's claim stream at an offset. All agents
// that have folded the same records agree.
type Fold struct {
	next      int64
	entries   map[Key]*entry
	released  map[ID]int64      // claims that are void, by offset of the release
	latest    map[string]string // by target: incarnation that started last
	replaced  map[string]bool   // incarnations with a later start of their target
	marks     []mark            // in offset order
	compacted int               // marks whose answers are dropped already
	horizonMS int64             // stamp up to which records may have expired
	first     int64             // oldest offset that this fold has seen
}

// NewFold returns a fold that begins at the offset of the oldest kept record.
// Older claims are not known to it; see HorizonMS.
func NewFold(oldest int64) *Fold {
	return &Fold{
		next:     oldest,
		first:    oldest,
		entries:  make(map[Key]*entry),
		released: make(map[ID]int64),
		latest:   make(map[string]string),
		replaced: make(map[string]bool),
	}
}

// Next returns the offset of the record that the fold needs next.
func (f *Fold) Next() int64 { return f.next }

// Len returns the number of keys held.
func (f *Fold) Len() int { return len(f.entries) }

// HorizonMS returns the author's stamp up to which claims may be unknown to
// this fold, because their records have expired; 0 if there are none.
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

// Apply folds the record at the next offset and returns the keys it touched. A
// record that cannot be decoded is passed as the zero Batch and has no effect.
func (f *Fold) Apply(offset int64, b Batch) []Key {
	if f.first > 0 && offset == f.first && len(b.Ops) > 0 {
		f.horizonMS = max(f.horizonMS, b.StampMS)
	}
	f.next = offset + 1
	touched := f.start(b)
	for _, op := range b.Ops {
		id := ID{Incarnation: b.Incarnation, Serial: op.Serial}
		if f.applyOp(offset, id, op) {
			m := mark{key: op.Key, offset: offset, stampMS: b.StampMS}
			if op.Kind == KindRelease {
				m.claim = id
			}
			f.marks = append(f.marks, m)
		}
		touched = append(touched, op.Key)
	}
	return touched
}

// start notes that an incarnation of a target has begun and that those before
// it are gone. It returns the keys that these hold.
func (f *Fold) start(b Batch) []Key {
	before := f.latest[b.Target]
	if !b.Start || before == b.Incarnation || f.replaced[b.Incarnation] {
		return nil
	}
	f.latest[b.Target] = b.Incarnation
	if before == "" {
		return nil
	}
	f.replaced[before] = true
	var touched []Key
	for key, e := range f.entries {
		if e.Phase == Claimed && e.Owner.Incarnation == before {
			touched = append(touched, key)
		}
	}
	return touched
}

// applyOp reports whether the op changed the fold.
func (f *Fold) applyOp(offset int64, id ID, op Op) bool {
	switch op.Kind {
	case KindClaim:
		return f.claim(offset, id, op)
	case KindRelease:
		f.release(offset, id, op.Key)
		return true
	case KindAnswer:
		return f.answer(offset, id, op)
	case KindUnanswered:
		return f.unknown(offset, id, op.Key)
	default:
		return false
	}
}

// claim lets the first claim of a free key win. A claim that lands after its
// own release is void. A claim that loses is dead for good: it is not kept, so
// it cannot win when the key is released later.
func (f *Fold) claim(offset int64, id ID, op Op) bool {
	if _, void := f.released[id]; void {
		return false
	}
	if _, held := f.entries[op.Key]; held {
		return false
	}
	state := State{Phase: Claimed, Owner: id, Fingerprint: op.Fingerprint}
	f.entries[op.Key] = &entry{State: state, touched: offset}
	return true
}

// release voids a claim by its ID, wherever the claim lands, and frees the key
// if the claim holds it.
func (f *Fold) release(offset int64, id ID, key Key) {
	f.released[id] = offset
	e, held := f.entries[key]
	if held && e.Phase == Claimed && e.Owner == id {
		delete(f.entries, key)
	}
}

// answer records the first answer of a key. Only a claim that has won writes
// one, so it stands even where this fold has not seen that claim.
func (f *Fold) answer(offset int64, id ID, op Op) bool {
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
	e.Phase, e.Owner, e.Answer, e.touched = Answered, id, op.Answer, offset
	return true
}

func (f *Fold) unknown(offset int64, id ID, key Key) bool {
	e, held := f.entries[key]
	if !held || e.Phase != Claimed || e.Owner != id {
		return false
	}
	e.Phase, e.touched = Unanswered, offset
	return true
}

// expires reports whether Expire would forget a key that is held.
func (f *Fold) expires(key Key, oldest int64) bool {
	e, held := f.entries[key]
	return held && e.touched < oldest
}

// Expire forgets what stands only in records below the oldest kept offset.
func (f *Fold) Expire(oldest int64) {
	count := 0
	for _, m := range f.marks {
		if m.offset >= oldest {
			break
		}
		count++
		f.horizonMS = max(f.horizonMS, m.stampMS)
		if e, held := f.entries[m.key]; held && e.touched == m.offset {
			delete(f.entries, m.key)
		}
		if f.released[m.claim] == m.offset {
			delete(f.released, m.claim)
		}
	}
	f.marks = f.marks[count:]
	f.compacted = max(0, f.compacted-count)
}

// DropAnswers drops the bodies of answers that were recorded before a stamp,
// so that memory holds answers for the window of a key only. The keys stay.
func (f *Fold) DropAnswers(beforeMS int64) {
	for f.compacted < len(f.marks) && f.marks[f.compacted].stampMS < beforeMS {
		m := f.marks[f.compacted]
		f.compacted++
		if e, held := f.entries[m.key]; held && e.touched == m.offset && e.Answer != nil {
			e.Answer = &Answer{Status: e.Answer.Status, Dropped: true}
		}
	}
}
