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

// Each case is an honest start and one frame that must be refused.
func TestEachLieOfAnAgentIsRefused(t *testing.T) {
	for what, c := range map[string]struct {
		honest []proto.Message
		lie    proto.Message
		change func(*wire.AnswerFrame)
	}{
		"sequence left out":  {honest: []proto.Message{token(1, "a")}, lie: token(2, "b"), change: func(f *wire.AnswerFrame) { f.Sequence++ }},
		"sequence repeated":  {honest: []proto.Message{token(1, "a")}, lie: token(2, "b"), change: func(f *wire.AnswerFrame) { f.Sequence-- }},
		"other request":      {lie: token(1, "a"), change: func(f *wire.AnswerFrame) { f.RequestId = "other" }},
		"token left out":     {honest: []proto.Message{token(1, "a")}, lie: token(3, "c")},
		"position back":      {honest: []proto.Message{token(1, "a"), token(2, "b")}, lie: token(1, "a")},
		"token without text": {honest: []proto.Message{token(1, "a")}, lie: token(2, "")},
		"token after close":  {honest: []proto.Message{token(1, "a"), token(1, "stop")}, lie: token(2, "b")},
		"head after body":    {honest: []proto.Message{token(1, "a")}, lie: &wire.Head{Status: 200}},
		"status":             {lie: &wire.Head{Status: 99}},
		"frames short":       {honest: []proto.Message{token(1, "a")}, lie: &wire.Final{Frames: 2, Bytes: 1}},
		"bytes short":        {honest: []proto.Message{token(1, "a")}, lie: &wire.Final{Frames: 1, Bytes: 2}},
		"after the end":      {honest: []proto.Message{&wire.Final{}}, lie: token(1, "a")},
		"refused late":       {honest: []proto.Message{token(1, "a")}, lie: &wire.Refused{}},
	} {
		t.Run(what, func(t *testing.T) {
			check := frameCheck{requestID: "id", streamed: true}
			all := frames(append(c.honest, c.lie)...)
			for _, frame := range all[:len(all)-1] {
				assert.NilError(t, check.accept(frame.(*wire.AnswerFrame)))
			}
			last := all[len(all)-1].(*wire.AnswerFrame)
			if c.change != nil {
				c.change(last)
			}
			assert.Assert(t, check.accept(last) != nil)
		})
	}
}

func TestStreamThatProvesWrongIsNotResumed(t *testing.T) {
	liar := func(*wire.Open) ([]proto.Message, error) {
		return frames(token(1, "a"), token(2, "b"), &wire.Final{Frames: 3, Bytes: 3}), io.EOF
	}
	f := newFixture(t, liar, liar)
	_, _, failure := f.do(modelRequest(true))
	assert.Equal(t, failure.Code, CodeIncomplete)
	assert.Equal(t, failure.Streaming, true)
	assert.Equal(t, len(f.links.calls), 1)
}
