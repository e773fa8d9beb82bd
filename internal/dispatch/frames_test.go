package dispatch

import (
	"io"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/wire"
)

func token(position int64, text string) proto.Message {
	return &wire.Chunk{Data: []byte(text), Position: position}
}

// Each case consists of valid frames followed by one that must be rejected.
func TestEachInvalidFrameIsRejected(t *testing.T) {
	for what, c := range map[string]struct {
		valid   []proto.Message
		invalid proto.Message
		change  func(*wire.AnswerFrame)
	}{
		"sequence left out":            {valid: []proto.Message{token(1, "a")}, invalid: token(2, "b"), change: func(f *wire.AnswerFrame) { f.Sequence++ }},
		"sequence repeated":            {valid: []proto.Message{token(1, "a")}, invalid: token(2, "b"), change: func(f *wire.AnswerFrame) { f.Sequence-- }},
		"other request":                {invalid: token(1, "a"), change: func(f *wire.AnswerFrame) { f.RequestId = "other" }},
		"token left out":               {valid: []proto.Message{token(1, "a")}, invalid: token(3, "c")},
		"position back":                {valid: []proto.Message{token(1, "a"), token(2, "b")}, invalid: token(1, "a")},
		"token without text":           {valid: []proto.Message{token(1, "a")}, invalid: token(2, "")},
		"token after a trailing chunk": {valid: []proto.Message{token(1, "a"), token(1, "stop")}, invalid: token(2, "b")},
		"head after body":              {valid: []proto.Message{token(1, "a")}, invalid: &wire.Head{Status: 200}},
		"status":                       {invalid: &wire.Head{Status: 99}},
		"too few frames":               {valid: []proto.Message{token(1, "a")}, invalid: &wire.Final{Frames: 2, Bytes: 1}},
		"too few bytes":                {valid: []proto.Message{token(1, "a")}, invalid: &wire.Final{Frames: 1, Bytes: 2}},
		"after the end":                {valid: []proto.Message{&wire.Final{}}, invalid: token(1, "a")},
		"refused late":                 {valid: []proto.Message{token(1, "a")}, invalid: &wire.Refused{}},
	} {
		t.Run(what, func(t *testing.T) {
			validator := frameValidator{requestID: "id", streamed: true}
			all := frames(append(c.valid, c.invalid)...)
			for _, frame := range all[:len(all)-1] {
				assert.NilError(t, validator.validate(frame.(*wire.AnswerFrame)))
			}
			last := all[len(all)-1].(*wire.AnswerFrame)
			if c.change != nil {
				c.change(last)
			}
			assert.Assert(t, validator.validate(last) != nil)
		})
	}
}

func TestStreamWithWrongTotalsIsNotResumed(t *testing.T) {
	wrongTotals := func(*wire.Open) ([]proto.Message, error) {
		return frames(token(1, "a"), token(2, "b"), &wire.Final{Frames: 3, Bytes: 3}), io.EOF
	}
	f := newFixture(t, wrongTotals, wrongTotals)
	_, _, failure := f.do(modelRequest(true))
	assert.Equal(t, failure.Code, CodeIncomplete)
	assert.Equal(t, failure.Streaming, true)
	assert.Equal(t, len(f.links.calls), 1)
}
