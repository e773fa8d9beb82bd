package callerconn

import (
	"container/list"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/memory"
)

const (
	// pieceBytes of an answer are to be taken within the idle timeout.
	pieceBytes = 16 << 10
	// writeBufferBytes are what the system holds of an answer for a client that does not take
	// it. More would hide for long that a slow client goes on.
	writeBufferBytes = 64 << 10
	// readerBytes is the size of the buffer with which net/http reads a connection.
	readerBytes = 4 << 10
)

// errEnded is the error of a connection that was closed to make room.
var errEnded = errors.New("connection closed to make room for others")

// conn is a connection of a caller.
type conn struct {
	net.Conn
	bounds *Bounds

	closing      atomic.Bool  // it has been told to end
	requesting   atomic.Bool  // the head of a request is over, and its answer is not
	stalledSince atomic.Int64 // when the running request began to wait for its client; 0: it does not

	// The lock of the bounds guards these.
	list      *list.List // that it is in; nil: none
	place     *list.Element
	headBegan time.Time // when the first byte of the last head came

	deadlines sync.Mutex
	readBy    time.Time // the server's deadline for reads; zero: none
	writeBy   time.Time

	// Only the goroutine that reads uses these.
	limits Limits
	head   *memory.Head
	scan   headScan
	denied Reason // why the head that is in the server's buffer is refused
	ahead  int    // bytes that were read last and may be of the next head
	late   bool   // the body has not come in time; the rest of it is not waited for

	waitEnds time.Time // when the connection is closed unless a head begins
	starts   int       // of waits by the server, see SetReadDeadline
}

func newConn(accepted net.Conn, bounds *Bounds) *conn {
	if tcp, ok := accepted.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(writeBufferBytes) //nolint:errcheck // without it, slow clients are only told later from stalled ones
	}
	c := &conn{Conn: accepted, bounds: bounds, starts: afterIdle}
	if bounds.Memory != nil {
		c.head = bounds.Memory.ReserveHead()
	}
	return c
}

// NetConn returns the connection itself.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends what the server sends. What the client still sends does not reset the
// answer then.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// enter puts the connection into a list.
func (c *conn) enter(l *list.List) {
	c.list, c.place = l, l.PushBack(c)
}

// Read reads the head of a request, or its body.
func (c *conn) Read(into []byte) (int, error) {
	if c.requesting.Load() {
		return c.readBody(into)
	}
	if c.denied != "" {
		return 0, c.refuse(c.denied)
	}
	n, err := c.Conn.Read(into)
	if n > 0 {
		if reason, allowed := c.addToHead(into[:n]); !allowed {
			return 0, c.refuse(reason)
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.scan.bytes > 0 && !c.closing.Load() {
		c.bounds.ended(HeadTooSlow, c)
	}
	return n, err
}

// readBody reads the body of the running request, or waits for the client to leave or to send
// its next request, which net/http does with reads of one byte.
func (c *conn) readBody(into []byte) (int, error) {
	if len(into) == 1 {
		return c.Conn.Read(into)
	}
	if c.late {
		return 0, os.ErrDeadlineExceeded
	}
	now := time.Now()
	c.stalledSince.Store(now.UnixNano())
	defer c.stalledSince.Store(0)
	if err := c.setDeadline(c.Conn.SetReadDeadline, &c.readBy, now.Add(c.limits.IdleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(into)
	c.ahead = min(n, readerBytes)
	c.late = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// Write writes a piece of an answer after the other. A client that takes none of a piece within
// the idle timeout has left.
func (c *conn) Write(data []byte) (int, error) {
	written := 0
	for {
		n, err := c.writePiece(data[written:min(len(data), written+pieceBytes)])
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

func (c *conn) writePiece(piece []byte) (int, error) {
	now := time.Now()
	c.stalledSince.Store(now.UnixNano())
	defer c.stalledSince.Store(0)
	if err := c.setDeadline(c.Conn.SetWriteDeadline, &c.writeBy, now.Add(c.bounds.limits().IdleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(piece)
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.closing.Load() {
		return n, err
	}
	if n > 0 {
		return n, nil
	}
	c.bounds.ended(AnswerNotTaken, c)
	return n, err
}

// setDeadline sets a deadline of the connection to a time, or to the server's own if that is
// sooner. It returns errEnded if the connection has been told to end.
func (c *conn) setDeadline(set func(time.Time) error, own *time.Time, at time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.closing.Load() {
		return errEnded
	}
	if !own.IsZero() && own.Before(at) {
		at = *own
	}
	return set(at)
}

// SetWriteDeadline sets the time by which the server wants an answer to be taken.
func (c *conn) SetWriteDeadline(by time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.writeBy = by
	if c.closing.Load() {
		return nil
	}
	return c.Conn.SetWriteDeadline(by)
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(by time.Time) error {
	if err := c.SetReadDeadline(by); err != nil {
		return err
	}
	return c.SetWriteDeadline(by)
}

// The number of waits that the server has begun on a connection since the last request.
const (
	inIdle    = 1 // for the first bytes of the next request
	afterIdle = 2 // for the rest of its head
)

// SetReadDeadline sets the server's own deadline for reads. While no request runs, it comes with
// a wait of the server for an idle connection, then for a head; without a deadline, the head is
// over.
func (c *conn) SetReadDeadline(by time.Time) error {
	if !c.requesting.Load() && !by.IsZero() {
		c.beginWait()
	}
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.readBy = by
	if c.closing.Load() {
		return nil
	}
	if at := c.headDeadline(); !c.requesting.Load() && !by.IsZero() && at.Before(by) {
		by = at
	}
	return c.Conn.SetReadDeadline(by)
}

// beginWait records that the server begins to wait for a request or its head. If that follows
// the wait of an idle connection, the bytes that have ended it are in the server's buffer.
func (c *conn) beginWait() {
	if c.starts < afterIdle {
		c.starts++
	}
	if c.starts != afterIdle || c.scan.bytes > 0 || c.ahead == 0 {
		return
	}
	c.beginHead()
	c.scan = scanOfUnseen(c.ahead)
	if !c.reserveHead() {
		c.denied = NoMemoryForHead
	}
}

// headDeadline returns when a connection is closed on which no request runs.
func (c *conn) headDeadline() time.Time {
	if c.scan.bytes > 0 {
		return c.headBegan.Add(c.limits.HeaderTimeout)
	}
	return c.waitEnds
}

// awaitRequest begins the time without a request.
func (c *conn) awaitRequest() {
	c.limits = c.bounds.limits()
	c.requesting.Store(false)
	c.scan, c.denied = headScan{}, ""
	c.waitEnds = time.Now().Add(c.limits.IdleTimeout)
}

// beginRequest begins the time of a request, once its head is over. It has the deadlines that the
// server has set, also if it came as the connection was to make room.
func (c *conn) beginRequest() error {
	c.requesting.Store(true)
	c.starts, c.late = 0, false
	c.releaseHead()
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if err := c.Conn.SetWriteDeadline(c.writeBy); err != nil {
		return err
	}
	return c.Conn.SetReadDeadline(c.readBy)
}

// beginHead begins the time in which a head must come.
func (c *conn) beginHead() {
	c.limits = c.bounds.limits()
	c.bounds.beginHead(c)
}

// addToHead counts bytes of a head. If they are refused, it returns the reason and false.
func (c *conn) addToHead(data []byte) (Reason, bool) {
	if c.scan.bytes == 0 {
		c.beginHead()
		if err := c.setDeadline(c.Conn.SetReadDeadline, &c.readBy, c.headBegan.Add(c.limits.HeaderTimeout)); err != nil {
			return MadeRoom, true // the next read fails
		}
	}
	c.ahead = c.scan.add(data)
	switch {
	case c.scan.bytes > c.limits.HeaderBytes+readerBytes:
		return HeadTooLarge, false
	case !c.reserveHead():
		return NoMemoryForHead, false
	}
	return "", true
}

func (c *conn) reserveHead() bool {
	return c.head == nil || c.head.TrySet(memory.HeadBytes(c.scan.bytes, c.scan.lines))
}

func (c *conn) releaseHead() {
	if c.head != nil {
		c.head.Release()
	}
}

// end makes reads and writes fail, so that the server closes the connection.
func (c *conn) end() {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.closing.Store(true)
	past := time.Unix(1, 0)
	c.Conn.SetReadDeadline(past)  //nolint:errcheck // a closed connection has made room
	c.Conn.SetWriteDeadline(past) //nolint:errcheck // a closed connection has made room
}
