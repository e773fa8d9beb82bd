package settings

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Write is one attempt to set or delete a path.
type Write struct {
	Operation string          `json:"operation"` // unique ID, the same in each retry
	Path      string          `json:"path"`
	Value     json.RawMessage `json:"value,omitempty"`
	Deleted   bool            `json:"deleted,omitempty"`
	AsOf      int64           `json:"as_of"` // offset of the state that the author had read
	Author    string          `json:"author,omitempty"`
	Team      string          `json:"team,omitempty"`
}

// Record is one record of the settings or the checkpoint stream. At most one
// field is set. None is set in a record of a kind that this version does not
// know; such a record has no effect.
type Record struct {
	Write           *Write           `json:"write,omitempty"`
	CheckpointChunk *CheckpointChunk `json:"chunk,omitempty"`
	CheckpointClose *CheckpointClose `json:"close,omitempty"`
}

// EncodeRecord returns the bytes of a record for the log.
func EncodeRecord(record Record) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(record); err != nil {
		return nil, errors.Wrap(err, "encode settings record")
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}

// DecodeRecord parses the bytes of a record. It compacts the JSON of values.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if !utf8.Valid(data) {
		return record, errors.New("decode settings record: not UTF-8")
	}
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, errors.Wrap(err, "decode settings record")
	}
	if record.Write != nil {
		record.Write.Value = compact(record.Write.Value)
	}
	if record.CheckpointChunk != nil {
		for i := range record.CheckpointChunk.Entries {
			record.CheckpointChunk.Entries[i].Value = compact(record.CheckpointChunk.Entries[i].Value)
		}
	}
	return record, nil
}

// compact removes insignificant space from valid JSON.
func compact(value json.RawMessage) json.RawMessage {
	if len(value) == 0 {
		return nil
	}
	var buffer bytes.Buffer
	buffer.Grow(len(value))
	if err := json.Compact(&buffer, value); err != nil {
		return value
	}
	return bytes.Clone(buffer.Bytes())
}
