package link

import (
	"net"
	"sync"
	"time"
)

const (
	maxUnwritten  = 256 << 10              // bytes that wait for the connection at most
	lastWriteTime = 200 * time.Millisecond // for what is left when the connection is closed
)

// coalescer is a connection whose writes return before they are on the wire.
// What is written while an earlier write is under way goes out in one piece:
// yamux writes the header and the body of each frame by itself.
type coalescer struct {
	net.Conn
	timeout time.Duration // of one write to the connection

	lock    sync.Mutex
	changed sync.Cond // of lock: waiting, closed or err has changed
	waiting []byte
	spare   []byte // the buffer written last, to be used again
	closed  bool
	err     error // of an earlier write
}

func coalesce(conn net.Conn, timeout time.Duration) *coalescer {
	c := &coalescer{Conn: conn, timeout: timeout}
	c.changed.L = &c.lock
	go c.flush()
	return c
}

// Write takes a copy of data. Its error may be that of an earlier write.
func (c *coalescer) Write(data []byte) (int, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for len(c.waiting) > maxUnwritten && c.err == nil && !c.closed {
		c.changed.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	c.waiting = append(c.waiting, data...)
	c.changed.Broadcast()
	return len(data), nil
}

// Close ends reads at once; what was written before still goes out, within
// lastWriteTime.
func (c *coalescer) Close() error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closed = true
	c.changed.Broadcast()
	_ = c.SetReadDeadline(time.Now())
	return c.SetWriteDeadline(time.Now().Add(lastWriteTime))
}

// flush writes until the connection is closed and nothing is left, or until it
// breaks.
func (c *coalescer) flush() {
	defer func() { _ = c.Conn.Close() }()
	for {
		data, open := c.take()
		if !open {
			return
		}
		_, err := c.Conn.Write(data)
		if c.written(data, err) {
			return
		}
	}
}

// take waits for something to write; false once the connection is closed and
// nothing is left.
func (c *coalescer) take() ([]byte, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for len(c.waiting) == 0 && !c.closed {
		c.changed.Wait()
	}
	if len(c.waiting) == 0 {
		return nil, false
	}
	if !c.closed {
		_ = c.SetWriteDeadline(time.Now().Add(c.timeout))
	}
	data := c.waiting
	c.waiting, c.spare = c.spare[:0], nil
	return data, true
}

// written keeps the buffer for later and reports whether the write failed.
func (c *coalescer) written(buffer []byte, err error) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.spare = buffer
	c.err = err
	c.changed.Broadcast()
	return err != nil
}
