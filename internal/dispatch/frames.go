package dispatch

import (
	"github.com/pkg/errors"

	"quetzalbend/internal/wire"
)

// frameCheck checks the frames of one attempt in order. An answer is whole
// only if every frame passed and the last one was a Final with the right totals.
//
// Of a streamed answer each chunk holds one token, or none: before the first
// token and after the last one.
type frameCheck struct {
	requestID string
	streamed  bool
	next      int64 // sequence of the next frame
	position  int64 // tokens of the answer so far, those of earlier attempts included
	chunks    int64
	bytes     int64
	tokens    bool // a token came in this attempt
	closing   bool // a chunk without a token came after a token
	ended     bool
}

func (c *frameCheck) accept(frame *wire.AnswerFrame) error {
	if c.ended {
		return errors.New("frame after the last one")
	}
	if frame.GetRequestId() != c.requestID {
		return errors.Errorf("frame of request %q", frame.GetRequestId())
	}
	if frame.GetSequence() != c.next {
		return errors.Errorf("frame %d where %d was due", frame.GetSequence(), c.next)
	}
	c.next++
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

func (c *frameCheck) head(head *wire.Head) error {
	if c.chunks > 0 {
		return errors.New("head after the body began")
	}
	if head.GetStatus() < 200 || head.GetStatus() > 599 {
		return errors.Errorf("status %d", head.GetStatus())
	}
	return nil
}

func (c *frameCheck) chunk(chunk *wire.Chunk) error {
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

// token checks that a chunk of a streamed answer continues the text.
func (c *frameCheck) token(chunk *wire.Chunk) error {
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

func (c *frameCheck) final(final *wire.Final) error {
	c.ended = true
	if final.GetFrames() != c.chunks || final.GetBytes() != c.bytes {
		return errors.Errorf("%d chunks with %d bytes came of %d with %d",
			c.chunks, c.bytes, final.GetFrames(), final.GetBytes())
	}
	return nil
}
