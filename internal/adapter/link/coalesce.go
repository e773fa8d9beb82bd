package link

import (
	"net"
	"sync"
	"time"
)

const (
	maxPendingBytes   = 256 << 10              // bytes not yet written, above which Write blocks
	closeWriteTimeout = 200 * time.Millisecond // for data that is still pending when the connection is closed
)

// coalescer is a connection that buffers writes: Write returns before the data is
// on the wire, and a goroutine sends it. All data that is buffered during one write
// to the connection goes out in the next. Without this each frame would take two
// writes, since yamux writes the header and the body of a frame separately.
type coalescer struct {
	net.Conn
	timeout time.Duration // of one write to the connection
	flushed chan struct{} // closed when nothing is written any more

	lock    sync.Mutex
	changed sync.Cond // uses lock; pending, closed or err has changed
	pending []byte
	spare   []byte // the buffer of the last finished write, for reuse
	closed  bool
	err     error // of an earlier write
}

func coalesce(conn net.Conn, timeout time.Duration) *coalescer {
	c := &coalescer{Conn: conn, timeout: timeout, flushed: make(chan struct{})}
	c.changed.L = &c.lock
	go c.flush()
	return c
}

// Write appends a copy of data to the pending data. Its error may be that of an
// earlier write.
func (c *coalescer) Write(data []byte) (int, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for len(c.pending) > maxPendingBytes && c.err == nil && !c.closed {
		c.changed.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	c.pending = append(c.pending, data...)
	c.changed.Broadcast()
	return len(data), nil
}

// Close ends reads at once. Pending data is still written, within
// closeWriteTimeout.
func (c *coalescer) Close() error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closed = true
	c.changed.Broadcast()
	_ = c.SetReadDeadline(time.Now())
	return c.SetWriteDeadline(time.Now().Add(closeWriteTimeout))
}

// flush writes pending data until the connection is closed and nothing is left to
// write, or until a write fails.
func (c *coalescer) flush() {
	defer func() { _ = c.Conn.Close() }()
	defer close(c.flushed)
	for {
		data, open := c.takePending()
		if !open {
			return
		}
		_, err := c.Conn.Write(data)
		if c.finishWrite(data, err) {
			return
		}
	}
}

// takePending waits for pending data and returns it. It returns false once the
// connection is closed and nothing is left to write.
func (c *coalescer) takePending() ([]byte, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for len(c.pending) == 0 && !c.closed {
		c.changed.Wait()
	}
	if len(c.pending) == 0 {
		return nil, false
	}
	if !c.closed {
		_ = c.SetWriteDeadline(time.Now().Add(c.timeout))
	}
	data := c.pending
	c.pending, c.spare = c.spare[:0], nil
	return data, true
}

// finishWrite keeps the written buffer for reuse and reports whether the write
// failed.
func (c *coalescer) finishWrite(buffer []byte, err error) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.spare = buffer
	c.err = err
	c.changed.Broadcast()
	return err != nil
}
