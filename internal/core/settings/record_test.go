package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRecordOfUnknownKindHasNoEffect(t *testing.T) {
	record, err := DecodeRecord([]byte(`{"later":{"x":1}}`))
	assert.NilError(t, err)
	state := NewState()
	decided, err := state.Apply(0, record)
	assert.NilError(t, err)
	assert.Assert(t, decided == nil)
	assert.Equal(t, state.Offset(), int64(0))
}

func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"write":{"operation":"o","path":"/a/b","value":{"x": [1, 2]},"as_of":-1,"author":"é"}}`))
	f.Add([]byte(`{"write":{"operation":"o","path":"/a","deleted":true,"as_of":-1}}`))
	f.Add([]byte(`{"write":{"operation":"o","path":"/a","value":"<&>","as_of":9223372036854775807}}`))
	f.Add([]byte(`{"chunk":{"checkpoint":"c","base":3,"index":0,"entries":[{"path":"/a","version":1,"value":1}]}}`))
	f.Add([]byte(`{"close":{"checkpoint":"c","base":3,"chunks":-1,"hash":""}}`))
	f.Add([]byte("{\"write\":{\"path\":\"/\xff\"}}"))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeRecord(data)
		if err != nil {
			return
		}
		checkApply(t, record)
		again, err := EncodeRecord(record)
		assert.NilError(t, err)
		decoded, err := DecodeRecord(again)
		assert.NilError(t, err)
		encoded, err := EncodeRecord(decoded)
		assert.NilError(t, err)
		assert.Equal(t, string(encoded), string(again))
	})
}

// checkApply applies a record to an empty state and checks that a checkpoint of
// the result restores it.
func checkApply(t *testing.T, record Record) {
	state := NewState()
	_, err := state.Apply(0, record)
	assert.NilError(t, err)
	chunks, closing := state.Checkpoint("c")
	for i := range chunks {
		data, err := EncodeRecord(Record{CheckpointChunk: &chunks[i]})
		assert.NilError(t, err)
		decoded, err := DecodeRecord(data)
		assert.NilError(t, err)
		chunks[i] = *decoded.CheckpointChunk
	}
	restored, err := Restore(&closing, chunks)
	assert.NilError(t, err)
	assert.Equal(t, restored.Hash(), state.Hash())
	if record.CheckpointClose != nil {
		_, _ = Restore(record.CheckpointClose, chunks)
	}
}
