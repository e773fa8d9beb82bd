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

// Event is something that is counted.
type Event string

// Events.
const (
	Retries       Event = "retries"
	Strikes       Event = "strikes"        // against requests
	OutcomesAsked Event = "outcomes_asked" // of calls that may not be repeated
)

// Counter counts events.
type Counter interface {
	Count(event Event)
	// CountFailedAttempt counts an attempt that was not whole by its code, which
	// may be a word of the agent.
	CountFailedAttempt(code string)
}

// StreamWriter passes the pieces of a streamed answer on to the caller.
type StreamWriter interface {
	Write(data []byte) error
}
