package dispatch

import (
	"io"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/wire"
)

// FuzzLyingAgent runs requests against an agent whose frames are corrupted by ops.
// An answer may be accepted as complete only if it is the expected text with every
// token exactly once.
func FuzzLyingAgent(f *testing.F) {
	f.Add(true, []byte{})
	for op := range byte(corruptions) {
		f.Add(true, []byte{op, 3})
		f.Add(false, []byte{op, 4, op, 2})
	}
	f.Fuzz(func(t *testing.T, stream bool, ops []byte) {
		const text = "abcdef"
		corrupting := func(open *wire.Open) ([]proto.Message, error) {
			from := open.GetCall().GetModel().GetResumePosition()
			return corrupt(frames(tokenBodies(text, from, int64(len(text)))...), ops), io.EOF
		}
		fixture := newFixture(t, corrupting, corrupting)
		answer, relayed, failure := fixture.doWithin(modelRequest(stream), time.Minute)
		if answer == nil {
			if failure == nil {
				t.Fatal("neither an answer nor a failure")
			}
			return
		}
		if !answer.Streamed {
			relayed = string(answer.Body)
		}
		if relayed != text {
			t.Fatalf("accepted as complete: %q", relayed)
		}
	})
}

// corruptions is the number of cases in corrupt.
const corruptions = 8

// corrupt changes frames: each pair of bytes selects a corruption and a frame.
func corrupt(frames []proto.Message, ops []byte) []proto.Message {
	for i := 0; i+1 < len(ops) && len(frames) > 1; i += 2 {
		at := int(ops[i+1]) % len(frames)
		frame := frames[at].(*wire.AnswerFrame)
		switch ops[i] % corruptions {
		case 0: // cut off
			frames = frames[:at]
		case 1: // omitted
			frames = append(frames[:at:at], frames[at+1:]...)
		case 2: // sent twice
			frames = append(frames[:at+1:at+1], frames[at:]...)
		case 3: // out of order
			frames[at], frames[0] = frames[0], frames[at]
		case 4: // of another request
			frame.RequestId = "other"
		case 5: // omitted, and the gap closed
			frames = append(frames[:at:at], closeGap(frames[at+1:])...)
		case 6: // shortened
			if chunk := frame.GetChunk(); chunk != nil {
				chunk.Data = nil
			}
		case 7: // position moved back
			if chunk := frame.GetChunk(); chunk != nil {
				chunk.Position -= 2
			}
		}
	}
	return frames
}

// closeGap returns copies of frames with each sequence number reduced by one.
func closeGap(frames []proto.Message) []proto.Message {
	closed := make([]proto.Message, len(frames))
	for i, frame := range frames {
		moved := proto.Clone(frame).(*wire.AnswerFrame)
		moved.Sequence--
		closed[i] = moved
	}
	return closed
}
