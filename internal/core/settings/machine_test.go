package settings

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// machineWindow is short, so that deletions are forgotten within a run.
const machineWindow = 5

// machine runs the real fold beside a plain model of what must hold: racing
// writers with late and repeated appends, checkpoints, expiring records, fresh
// readers, and readers that learn from each other.
type machine struct {
	log      []Record
	oldest   int64
	truth    *State   // a reader that has been there all along
	hashes   []string // of the truth at each offset
	sent     []Write  // writes that may land, again and again
	landed   map[string]int64
	lastDone map[string]int64 // offset of the last accepted write of each path
	readers  []*State
	ends     []checkpoint
}

// checkpoint is a closed checkpoint in the log.
type checkpoint struct {
	chunks []CheckpointChunk
	end    CheckpointClose
}

func newMachine() *machine {
	return &machine{
		truth: newState(machineWindow), landed: map[string]int64{}, lastDone: map[string]int64{},
		readers: []*State{newState(machineWindow), newState(machineWindow)},
	}
}

// append adds a record to the log and checks the verdict against the history.
func (m *machine) append(t *rapid.T, record Record) {
	offset := int64(len(m.log))
	m.log = append(m.log, record)
	judged, err := m.truth.Apply(offset, record)
	assert.NilError(t, err)
	m.hashes = append(m.hashes, m.truth.Hash())
	if judged == nil || judged.Verdict != Accepted {
		return
	}
	write := judged.Write
	last, changed := m.lastDone[write.Path]
	assert.Assert(t, !changed || last <= write.AsOf, "a write at %d undid one at %d that it had not seen", offset, last)
	_, twice := m.landed[write.Operation]
	assert.Assert(t, !twice, "operation %s took effect twice", write.Operation)
	m.landed[write.Operation] = offset
	m.lastDone[write.Path] = offset
}

// Send creates a write of a reader that may lag, without landing it.
func (m *machine) Send(t *rapid.T) {
	reader := rapid.SampledFrom(m.readers).Draw(t, "reader")
	write := Write{
		Operation: fmt.Sprintf("op%d", len(m.sent)),
		Path:      rapid.SampledFrom([]string{"/a", "/b"}).Draw(t, "path"),
		AsOf:      reader.Offset(),
		Deleted:   rapid.Bool().Draw(t, "deleted"),
	}
	if !write.Deleted {
		write.Value = fmt.Appendf(nil, "%d", len(m.sent))
	}
	m.sent = append(m.sent, write)
}

// Land appends any write that was ever sent, for the first time or again.
func (m *machine) Land(t *rapid.T) {
	if len(m.sent) == 0 {
		t.SkipNow()
	}
	write := rapid.SampledFrom(m.sent).Draw(t, "write")
	m.append(t, Record{Write: &write})
}

// Other appends a record that is no write.
func (m *machine) Other(t *rapid.T) { m.append(t, Record{}) }

// Follow lets a reader fold some records.
func (m *machine) Follow(t *rapid.T) {
	i := rapid.IntRange(0, len(m.readers)-1).Draw(t, "reader")
	count := rapid.IntRange(1, 4).Draw(t, "count")
	for range count {
		next := m.readers[i].Offset() + 1
		if next < m.oldest || next >= int64(len(m.log)) {
			return
		}
		_, err := m.readers[i].Apply(next, m.log[next])
		assert.NilError(t, err)
	}
}

// Checkpoint closes a checkpoint of a reader's state, however old it is.
func (m *machine) Checkpoint(t *rapid.T) {
	reader := rapid.SampledFrom(m.readers).Draw(t, "reader")
	chunks, end := reader.Checkpoint(fmt.Sprintf("c%d", len(m.ends)))
	m.ends = append(m.ends, checkpoint{chunks: chunks, end: end})
	m.append(t, Record{CheckpointClose: &end})
}

// Expire drops old records.
func (m *machine) Expire(t *rapid.T) {
	m.oldest = rapid.Int64Range(m.oldest, int64(len(m.log))).Draw(t, "oldest")
}

// Load replaces a reader by a fresh one that starts from a checkpoint.
func (m *machine) Load(t *rapid.T) {
	i := rapid.IntRange(0, len(m.readers)-1).Draw(t, "reader")
	for c := len(m.ends) - 1; c >= 0; c-- {
		if m.ends[c].end.Base+1 < m.oldest {
			continue
		}
		fresh, err := restore(machineWindow, &m.ends[c].end, m.ends[c].chunks)
		assert.NilError(t, err)
		m.readers[i] = fresh
		return
	}
}

// Learn moves one reader to where the other is by a delta.
func (m *machine) Learn(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "reader")
	delta := m.readers[1-i].DeltaFrom(m.readers[i].Offset())
	if delta.To <= m.readers[i].Offset() {
		_, err := m.readers[i].Advance(delta)
		assert.ErrorContains(t, err, "not above")
		return
	}
	next, err := m.readers[i].Advance(delta)
	assert.NilError(t, err)
	m.readers[i] = next
}

// LearnOld applies a delta for an earlier offset than the reader's.
func (m *machine) LearnOld(t *rapid.T) {
	from := rapid.Int64Range(NoOffset, max(NoOffset, m.readers[0].Offset())).Draw(t, "from")
	delta := m.readers[1].DeltaFrom(from)
	if delta.To <= m.readers[0].Offset() {
		return
	}
	next, err := m.readers[0].Advance(delta)
	assert.NilError(t, err)
	m.readers[0] = next
}

// Check compares each reader with the truth at its offset.
func (m *machine) Check(t *rapid.T) {
	for _, reader := range m.readers {
		if offset := reader.Offset(); offset >= 0 {
			assert.Equal(t, reader.Hash(), m.hashes[offset])
		}
	}
}

func TestAllReadersAgreeAndNothingAcceptedReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newMachine()))
	})
}
