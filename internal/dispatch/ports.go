package dispatch

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/wire"
)

// Stream is a two-way stream of messages to one agent.
type Stream interface {
	Send(m proto.Message) error
	Receive(m proto.Message) error // io.EOF at the end
	SetDeadline(t time.Time) error // of Receive
	Close() error
}

// Links opens streams to agents.
type Links interface {
	// Open starts a stream with its first message.
	Open(ctx context.Context, addr string, open *wire.Open) (Stream, error)
	// NotSent reports whether an error of Open says that the peer has
	// certainly not received the message.
	NotSent(err error) bool
}

// Counter counts events by name.
type Counter interface {
	Count(event string)
}

// StreamWriter passes the pieces of a streamed answer on to the caller.
type StreamWriter interface {
	Write(data []byte) error
}
