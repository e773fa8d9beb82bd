package answers

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// conn is a connection that tells a reset from an end in order. The system reports a reset to
// one operation only: if that is a write, a read after it sees an end.
type conn struct {
	net.Conn

	writing sync.Mutex // held during a write
	failed  error      // of the first write that failed
}

// NetConn returns the connection itself.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Write writes a part of a request.
func (c *conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if err != nil && c.failed == nil {
		c.failed = err
	}
	return n, err
}

// Read reads a part of an answer. It returns io.EOF only if no write has failed.
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if errors.Is(err, io.EOF) {
		err = c.end(err)
	}
	return n, err
}

// end returns the error of a read at the end of the connection. A write that has not returned
// is made to: the reset may have gone to it.
func (c *conn) end(inOrder error) error {
	if err := c.SetWriteDeadline(time.Now()); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failed != nil {
		return errors.Wrapf(ErrCut, "write: %v", c.failed)
	}
	return inOrder
}
