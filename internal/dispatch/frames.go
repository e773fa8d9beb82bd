package dispatch

import (
	"github.com/pkg/errors"

	"quetzalbend/internal/wire"
)

// frameValidator checks the frames of one attempt in order. An answer is complete
// only if every frame is valid and the last one is a Final with the right totals.
//
// Each chunk of a streamed answer holds one token, except for chunks without a
// token before the first token and after the last one.
type frameValidator struct {
	requestID     string
	streamed      bool
	nextSequence  int64 // sequence number of the next frame
	position      int64 // tokens of the answer so far, including those of earlier attempts
	chunks        int64
	bytes         int64
	tokenReceived bool // in this attempt
	trailingChunk bool // a trailing chunk was received: one without a token, after a token
	ended         bool
}

func (v *frameValidator) validate(frame *wire.AnswerFrame) error {
	if v.ended {
		return errors.New("frame after the last one")
	}
	if frame.GetRequestId() != v.requestID {
		return errors.Errorf("frame of request %q", frame.GetRequestId())
	}
	if frame.GetSequence() != v.nextSequence {
		return errors.Errorf("frame %d where %d was due", frame.GetSequence(), v.nextSequence)
	}
	v.nextSequence++
	switch body := frame.GetBody().(type) {
	case *wire.AnswerFrame_Head:
		return v.head(body.Head)
	case *wire.AnswerFrame_Chunk:
		return v.chunk(body.Chunk)
	case *wire.AnswerFrame_Final:
		return v.final(body.Final)
	case *wire.AnswerFrame_Refused:
		v.ended = true
		if v.chunks > 0 {
			return errors.New("refused after a part of the answer")
		}
	case *wire.AnswerFrame_Failed:
		v.ended = true
	}
	return nil
}

func (v *frameValidator) head(head *wire.Head) error {
	if v.chunks > 0 {
		return errors.New("head after the body began")
	}
	if head.GetStatus() < 200 || head.GetStatus() > 599 {
		return errors.Errorf("status %d", head.GetStatus())
	}
	return nil
}

func (v *frameValidator) chunk(chunk *wire.Chunk) error {
	if chunk.GetPosition() < v.position {
		return errors.Errorf("position %d after %d", chunk.GetPosition(), v.position)
	}
	if v.streamed {
		if err := v.token(chunk); err != nil {
			return err
		}
	}
	v.position = chunk.GetPosition()
	v.chunks++
	v.bytes += int64(len(chunk.GetData()))
	return nil
}

// token checks that a chunk of a streamed answer adds at most one token, and no
// token after a trailing chunk.
func (v *frameValidator) token(chunk *wire.Chunk) error {
	switch chunk.GetPosition() - v.position {
	case 0:
		v.trailingChunk = v.tokenReceived
		return nil
	case 1:
		v.tokenReceived = true
		if v.trailingChunk {
			return errors.New("token after the closing chunk")
		}
		if len(chunk.GetData()) == 0 {
			return errors.New("token without text")
		}
		return nil
	}
	return errors.Errorf("position %d after %d", chunk.GetPosition(), v.position)
}

func (v *frameValidator) final(final *wire.Final) error {
	v.ended = true
	if final.GetFrames() != v.chunks || final.GetBytes() != v.bytes {
		return errors.Errorf("%d chunks with %d bytes came of %d with %d",
			v.chunks, v.bytes, final.GetFrames(), final.GetBytes())
	}
	return nil
}
