package callerhttp

import (
	"time"

	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/drain"
)

// Bounds limits what callers may send and hold. Zero fields get the defaults.
type Bounds struct {
	HeaderBytes   int           // of the header of one request
	BodyBytes     int64         // of the body of one request
	HeaderTimeout time.Duration // to receive a request's header
	BodyTimeout   time.Duration // to receive a request's body
	WriteTimeout  time.Duration // for the caller to receive a piece of the answer
	IdleTimeout   time.Duration // of a connection without a request
	Connections   int           // at once
}

// Defaults of Bounds.
const (
	DefaultHeaderBytes   = 32 << 10
	DefaultBodyBytes     = 1 << 20
	DefaultHeaderTimeout = 5 * time.Second
	DefaultBodyTimeout   = 10 * time.Second
	DefaultWriteTimeout  = 15 * time.Second
	DefaultIdleTimeout   = 60 * time.Second
	DefaultConnections   = 10000
)

func (b Bounds) withDefaults() Bounds {
	setDefault(&b.HeaderBytes, DefaultHeaderBytes)
	setDefault(&b.BodyBytes, DefaultBodyBytes)
	setDefault(&b.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&b.BodyTimeout, DefaultBodyTimeout)
	setDefault(&b.WriteTimeout, DefaultWriteTimeout)
	setDefault(&b.IdleTimeout, DefaultIdleTimeout)
	setDefault(&b.Connections, DefaultConnections)
	return b
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Config configures the HTTP server for callers.
type Config struct {
	Bounds     Bounds
	Memory     *memory.Budget // for all requests and answers held at once; nil: unlimited
	Tables     Tables
	Dispatcher Dispatcher
	Limiter    Limiter      // nil: no limits
	Recorder   Recorder     // nil: no measurements
	Leaving    func() bool  // whether callers should connect elsewhere; nil: never
	Drain      *drain.Drain // of the server; nil: it is never drained
}
