package settings

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// machineWindow is short, so that tombstones are dropped within a run.
const machineWindow = 5

// machine is a rapid state machine. It runs readers under concurrent writers
// with late and repeated appends, checkpoints, expiring records, restarts of
// readers, and deltas between readers, and compares them with a reference
// reader and with the history of accepted writes.
type machine struct {
	log          []Record
	oldest       int64            // oldest offset that the log keeps
	reference    *State           // a reader that applied every record
	hashes       []string         // of the reference, by offset
	sent         []Write          // writes that may be appended, each any number of times
	acceptedAt   map[string]int64 // offset of each accepted write, by operation
	lastAccepted map[string]int64 // offset of the last accepted write of each path
	readers      []*State
	checkpoints  []checkpoint
}

// checkpoint is a complete checkpoint.
type checkpoint struct {
	chunks  []CheckpointChunk
	closing CheckpointClose // ends the checkpoint
}

func newMachine() *machine {
	return &machine{
		reference: newState(machineWindow), acceptedAt: map[string]int64{}, lastAccepted: map[string]int64{},
		readers: []*State{newState(machineWindow), newState(machineWindow)},
	}
}

// append adds a record to the log and checks an accepted write against the
// history: no accepted write may be overwritten by a write whose author had not
// read it, or take effect twice.
func (m *machine) append(t *rapid.T, record Record) {
	offset := int64(len(m.log))
	m.log = append(m.log, record)
	decided, err := m.reference.Apply(offset, record)
	assert.NilError(t, err)
	m.hashes = append(m.hashes, m.reference.Hash())
	if decided == nil || decided.Verdict != Accepted {
		return
	}
	write := decided.Write
	last, changed := m.lastAccepted[write.Path]
	assert.Assert(t, !changed || last <= write.AsOf, "the write at %d overwrote the one at %d, which its author had not read", offset, last)
	_, twice := m.acceptedAt[write.Operation]
	assert.Assert(t, !twice, "operation %s took effect twice", write.Operation)
	m.acceptedAt[write.Operation] = offset
	m.lastAccepted[write.Path] = offset
}

// SendWrite creates a write as of a reader's state, which may be old, and does
// not append it yet.
func (m *machine) SendWrite(t *rapid.T) {
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

// InsertWrite appends one of the writes sent so far, for the first time or again.
func (m *machine) InsertWrite(t *rapid.T) {
	if len(m.sent) == 0 {
		t.SkipNow()
	}
	write := rapid.SampledFrom(m.sent).Draw(t, "write")
	m.append(t, Record{Write: &write})
}

// OtherRecord appends a record without a write.
func (m *machine) OtherRecord(t *rapid.T) { m.append(t, Record{}) }

// FetchRecords lets a reader apply some records of the log.
func (m *machine) FetchRecords(t *rapid.T) {
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

// Checkpoint writes a checkpoint of a reader's state, however old it is.
func (m *machine) Checkpoint(t *rapid.T) {
	reader := rapid.SampledFrom(m.readers).Draw(t, "reader")
	chunks, closing := reader.Checkpoint(fmt.Sprintf("c%d", len(m.checkpoints)))
	m.checkpoints = append(m.checkpoints, checkpoint{chunks: chunks, closing: closing})
	m.append(t, Record{CheckpointClose: &closing})
}

// Expire removes the oldest records from the log.
func (m *machine) Expire(t *rapid.T) {
	m.oldest = rapid.Int64Range(m.oldest, int64(len(m.log))).Draw(t, "oldest")
}

// LoadCheckpoint replaces a reader by a new one, restored from the newest
// checkpoint whose following records are all in the log.
func (m *machine) LoadCheckpoint(t *rapid.T) {
	i := rapid.IntRange(0, len(m.readers)-1).Draw(t, "reader")
	for c := len(m.checkpoints) - 1; c >= 0; c-- {
		if m.checkpoints[c].closing.Base+1 < m.oldest {
			continue
		}
		fresh, err := restore(machineWindow, &m.checkpoints[c].closing, m.checkpoints[c].chunks)
		assert.NilError(t, err)
		m.readers[i] = fresh
		return
	}
}

// InstallDelta moves one reader to the offset of the other by a delta.
func (m *machine) InstallDelta(t *rapid.T) {
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

// InstallOldDelta applies a delta that may start below the reader's offset.
func (m *machine) InstallOldDelta(t *rapid.T) {
	from := rapid.Int64Range(NoOffset, max(NoOffset, m.readers[0].Offset())).Draw(t, "from")
	delta := m.readers[1].DeltaFrom(from)
	if delta.To <= m.readers[0].Offset() {
		return
	}
	next, err := m.readers[0].Advance(delta)
	assert.NilError(t, err)
	m.readers[0] = next
}

// Check compares each reader with the reference at the same offset.
func (m *machine) Check(t *rapid.T) {
	for _, reader := range m.readers {
		if offset := reader.Offset(); offset >= 0 {
			assert.Equal(t, reader.Hash(), m.hashes[offset])
		}
	}
}

func TestReadersAgreeAndAcceptedWritesPersist(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newMachine()))
	})
}
