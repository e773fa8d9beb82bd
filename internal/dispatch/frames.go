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
	requestID    string
	streamed     bool
	nextSequence int64 // sequence number of the next frame
	position     int64 // tokens of the answer so far, including those of earlier attempts
	chunks       int64
	bytes        int64
	tokens       bool // a token was received in this attempt
	closing      bool // a closing chunk was received: one without a token, after a token
	ended        bool
}

func (c *frameValidator) validate(frame *wire.AnswerFrame) error {
	if c.ended {
		return errors.New("frame after the last one")
	}
	if frame.GetRequestId() != c.requestID {
		return errors.Errorf("frame of request %q", frame.GetRequestId())
	}
	if frame.GetSequence() != c.nextSequence {
		return errors.Errorf("frame %d where %d was due", frame.GetSequence(), c.nextSequence)
	}
	c.nextSequence++
	switch body := frame.GetBody().(type) {
	case *wire.AnswerFrame_Head:
		return c.head(body.Head)
	case *wire.AnswerFrame_Chunk:
		return c.chunk(body.Chunk)
	case *wire.AnswerFrame_Final:
		return c.final(body.Final)
	case *wire.AnswerFrame_Refused:
		c.ended = true
		if c.chunks > 0 {
			return errors.New("refused after a part of the answer")
		}
	case *wire.AnswerFrame_Failed:
		c.ended = true
	}
	return nil
}

func (c *frameValidator) head(head *wire.Head) error {
	if c.chunks > 0 {
		return errors.New("head after the body began")
	}
	if head.GetStatus() < 200 || head.GetStatus() > 599 {
		return errors.Errorf("status %d", head.GetStatus())
	}
	return nil
}

func (c *frameValidator) chunk(chunk *wire.Chunk) error {
	if chunk.GetPosition() < c.position {
		return errors.Errorf("position %d after %d", chunk.GetPosition(), c.position)
	}
	if c.streamed {
		if err := c.token(chunk); err != nil {
			return err
		}
	}
	c.position = chunk.GetPosition()
	c.chunks++
	c.bytes += int64(len(chunk.GetData()))
	return nil
}

// token checks that a chunk of a streamed answer adds at most one token, and no
// token after a closing chunk.
func (c *frameValidator) token(chunk *wire.Chunk) error {
	switch chunk.GetPosition() - c.position {
	case 0:
		c.closing = c.tokens
		return nil
	case 1:
		c.tokens = true
		if c.closing {
			return errors.New("token after the closing chunk")
		}
		if len(chunk.GetData()) == 0 {
			return errors.New("token without text")
		}
		return nil
	}
	return errors.Errorf("position %d after %d", chunk.GetPosition(), c.position)
}

func (c *frameValidator) final(final *wire.Final) error {
	c.ended = true
	if final.GetFrames() != c.chunks || final.GetBytes() != c.bytes {
		return errors.Errorf("%d chunks with %d bytes came of %d with %d",
			c.chunks, c.bytes, final.GetFrames(), final.GetBytes())
	}
	return nil
}
