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

// Links opens message streams to agents.
type Links interface {
	// Open opens a stream to the agent at addr and sends its first message.
	Open(ctx context.Context, addr string, open *wire.Open) (Stream, error)
	// NotSent reports whether an error of Open means that the peer has
	// certainly not received the message.
	NotSent(err error) bool
}

// Event is the name of a counted event.
type Event string

// Events that a Dispatcher counts.
const (
	Retries       Event = "retries"
	Strikes       Event = "strikes"        // against requests
	OutcomesAsked Event = "outcomes_asked" // of calls that may not be repeated
)

// Counter counts events.
type Counter interface {
	Count(event Event)
	// CountFailedAttempt counts an attempt without a complete answer under its
	// code, which may be a reason given by the agent.
	CountFailedAttempt(code string)
}

// StreamWriter writes the pieces of a streamed answer to the caller.
type StreamWriter interface {
	Write(data []byte) error
}
