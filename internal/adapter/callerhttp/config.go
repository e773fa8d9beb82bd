package callerhttp

import "time"

// Bounds bound what one caller may send and hold. Zero fields get the defaults.
type Bounds struct {
	HeaderBytes   int           // of a request's header
	BodyBytes     int64         // of a request's body
	BodiesBytes   int64         // of all bodies held at once
	HeaderTimeout time.Duration // to receive a request's header
	BodyTimeout   time.Duration // to receive a request's body
	WriteTimeout  time.Duration // for the caller to take a piece of the answer
	IdleTimeout   time.Duration // of a kept connection
	Connections   int           // at once
}

// Defaults of Bounds.
const (
	DefaultHeaderBytes   = 32 << 10
	DefaultBodyBytes     = 1 << 20
	DefaultBodiesBytes   = 256 << 20
	DefaultHeaderTimeout = 5 * time.Second
	DefaultBodyTimeout   = 10 * time.Second
	DefaultWriteTimeout  = 15 * time.Second
	DefaultIdleTimeout   = 60 * time.Second
	DefaultConnections   = 10000
)

func (b Bounds) withDefaults() Bounds {
	setDefault(&b.HeaderBytes, DefaultHeaderBytes)
	setDefault(&b.BodyBytes, DefaultBodyBytes)
	setDefault(&b.BodiesBytes, DefaultBodiesBytes)
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

// Config holds what the callers' HTTP needs.
type Config struct {
	Bounds     Bounds
	Tables     Tables
	Dispatcher Dispatcher
	Limiter    Limiter     // nil: no limits
	Recorder   Recorder    // nil: nothing is measured
	Leaving    func() bool // whether callers should connect elsewhere; nil: never
}
