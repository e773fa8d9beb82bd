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
	openTimeout          = 10 * time.Second // for the first message of an accepted stream
	acceptBacklog        = 1024             // streams opened but not yet accepted
	maxMessageSize       = 16 << 20         // bytes
	readBufferSize       = 4 << 10          // bytes
	idleChecksPerTimeout = 2                // of a session, within IdleTimeout
)

// Config configures one end of a link, a Pool or a Server. Zero durations get the
// defaults, except IdleTimeout.
type Config struct {
	TLS               *tls.Config   // nil for plain TCP
	DialTimeout       time.Duration // for TCP, TLS and the first ping together
	WriteTimeout      time.Duration // of one message; a session is closed if the peer does not confirm a new stream in this time
	KeepAliveInterval time.Duration // between probes of a session; a dead peer is noticed after this interval plus WriteTimeout
	IdleTimeout       time.Duration // after which a Pool closes a session without streams; 0: never
	LocalIP           net.IP        // local address to dial from; nil for the system's choice
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

// session returns the yamux configuration of a session.
func (c Config) session() *yamux.Config {
	session := yamux.DefaultConfig()
	session.AcceptBacklog = acceptBacklog
	session.KeepAliveInterval = c.KeepAliveInterval
	session.ConnectionWriteTimeout = c.WriteTimeout
	session.StreamOpenTimeout = c.WriteTimeout
	session.LogOutput = io.Discard
	return session
}
