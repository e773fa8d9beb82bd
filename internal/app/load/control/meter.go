package control

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// meter counts the traffic of the connections of one kind, in both directions at
// the accepting end.
type meter struct {
	connections atomic.Int64
	bytes       atomic.Int64
	packets     atomic.Int64 // calls of Read and Write
}

// reading holds a meter's counts at one time.
type reading struct {
	bytes, packets int64
}

func (m *meter) read() reading {
	return reading{bytes: m.bytes.Load(), packets: m.packets.Load()}
}

// listen opens a listener on loopback whose connections are counted.
func (m *meter) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &meteredListener{Listener: listener, meter: m}, nil
}

// meteredListener accepts connections whose traffic meter counts.
type meteredListener struct {
	net.Listener
	meter *meter
}

// Accept implements net.Listener and counts the connection.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.meter.connections.Add(1)
	return &meteredConn{Conn: conn, meter: l.meter}, nil
}

// meteredConn counts its traffic in meter.
type meteredConn struct {
	net.Conn
	meter *meter
}

// Read implements net.Conn and counts the bytes received.
func (c *meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meter.bytes.Add(int64(n))
	c.meter.packets.Add(1)
	return n, err
}

// Write implements net.Conn and counts the bytes sent.
func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meter.bytes.Add(int64(n))
	c.meter.packets.Add(1)
	return n, err
}

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
