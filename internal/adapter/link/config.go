package link

import (
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

// Defaults of Config.
const (
	DefaultDialTimeout       = 2 * time.Second
	DefaultWriteTimeout      = 5 * time.Second
	DefaultKeepAliveInterval = 10 * time.Second
)

const (
	openTimeout    = 10 * time.Second // for the first message of an accepted stream
	acceptBacklog  = 1024             // streams opened but not yet accepted
	maxMessageSize = 16 << 20         // bytes
	readBufferSize = 4 << 10          // bytes
	looksAtIdle    = 2                // at an idle session in IdleTimeout
)

// Config holds what both ends of a link share. Zero fields get the defaults.
type Config struct {
	TLS               *tls.Config   // nil for plain TCP
	DialTimeout       time.Duration // for TCP and TLS together
	WriteTimeout      time.Duration // of one message; also until the session to a peer is closed that confirms no new stream
	KeepAliveInterval time.Duration // between probes of a session; its end is noticed after that and WriteTimeout
	IdleTimeout       time.Duration // after which a Pool closes a session without streams; 0: never
	LocalIP           net.IP        // to dial from; nil for the system's choice
}

func (c Config) withDefaults() Config {
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = DefaultWriteTimeout
	}
	if c.KeepAliveInterval == 0 {
		c.KeepAliveInterval = DefaultKeepAliveInterval
	}
	return c
}

func (c Config) session() *yamux.Config {
	session := yamux.DefaultConfig()
	session.AcceptBacklog = acceptBacklog
	session.KeepAliveInterval = c.KeepAliveInterval
	session.ConnectionWriteTimeout = c.WriteTimeout
	session.StreamOpenTimeout = c.WriteTimeout
	session.LogOutput = io.Discard
	return session
}
