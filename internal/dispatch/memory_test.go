package dispatch

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/wire"
)

// sends returns an agent that answers with one token and then chunks without one.
func sends(chunks int, data []byte) agent {
	return func(*wire.Open) ([]proto.Message, error) {
		bodies := []proto.Message{
			&wire.Admitted{}, &wire.Head{Status: 200}, &wire.Chunk{Data: []byte("a"), Position: 1},
		}
		for range chunks {
			bodies = append(bodies, &wire.Chunk{Data: data, Position: 1})
		}
		total := int64(1 + chunks*len(data))
		return frames(append(bodies, &wire.Final{Frames: int64(1 + chunks), Bytes: total, Tokens: 1})...), nil
	}
}

func TestEventsWithoutEndAfterTheLastTokenAreNotHeldBack(t *testing.T) {
	f := newFixture(t, sends(3, make([]byte, 512<<10)))
	_, _, failure := f.do(modelRequest(true))
	assert.Assert(t, failure != nil, "more than the size of an answer was held back")
	assert.Equal(t, failure.Code, CodeAnswerTooLarge)
}

func TestAnswerThatFindsNoMemoryGivesItBackAndIsNoStrike(t *testing.T) {
	for _, stream := range []bool{false, true} {
		budget := memory.NewBudget(1 << 20)
		f := newFixture(t, sends(2, make([]byte, 300<<10)))
		request := modelRequest(stream)
		request.Memory = budget.Reserve()
		_, _, failure := f.do(request)
		assert.Assert(t, failure != nil)
		assert.Equal(t, failure.Code, CodeNoMemory)
		assert.Equal(t, failure.Ran, wire.Ran_RAN_YES)
		assert.Equal(t, budget.Used(), int64(0))
		assert.Equal(t, len(f.links.calls), 1)
	}
}
