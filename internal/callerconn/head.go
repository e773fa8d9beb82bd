package callerconn

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"quetzalbend/internal/core/memory"
)

// headScan counts the bytes and lines of a head, and finds its end.
type headScan struct {
	bytes int
	lines int // that are not empty
	line  int // bytes of the last line
	over  bool
}

// shortestLine is the number of bytes of the shortest line of a head.
const shortestLine = 4

// scanOfUnseen returns the scan of a head of which so many bytes at most have come, of which
// nothing else is known.
func scanOfUnseen(bytes int) headScan {
	return headScan{bytes: bytes, lines: bytes / shortestLine, line: 1}
}

// add adds bytes to the head, and returns how many of them came after its end.
func (s *headScan) add(data []byte) (rest int) {
	for !s.over && len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		part := data
		if end >= 0 {
			part = data[:end+1]
		}
		s.bytes += len(part)
		s.line += len(bytes.Trim(part, "\r\n"))
		data = data[len(part):]
		if end < 0 {
			break
		}
		if s.line > 0 {
			s.lines++
		}
		s.over = s.line == 0 && s.lines > 0
		s.line = 0
	}
	return len(data)
}

// Bounds on the time and the bytes for which a refused client is listened to, so that the
// refusal reaches it before the connection is closed.
const (
	refusalTime  = 500 * time.Millisecond
	refusalBytes = 128 << 10
)

// refusal is the answer to a head that is refused.
func (b *Bounds) refusal(reason Reason) string {
	status, more := http.StatusRequestHeaderFieldsTooLarge, ""
	if reason == NoMemoryForHead {
		status, more = http.StatusServiceUnavailable, "Retry-After: "+inSeconds(b.RetryAfter)+"\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s\n",
		status, http.StatusText(status), more, len(reason)+1, reason)
}

func inSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }

// refuse answers that the head is refused, and returns the error that ends the connection.
func (c *conn) refuse(reason Reason) error {
	c.bounds.ended(reason, c)
	if _, err := io.WriteString(c, c.bounds.refusal(reason)); err != nil {
		return io.EOF
	}
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(refusalTime)) != nil {
		return io.EOF
	}
	io.CopyN(io.Discard, c.Conn, refusalBytes) //nolint:errcheck // the client may go on or leave
	return io.EOF
}

// countHeads returns a handler that reserves memory for the head of each request until it ends. A
// request whose head finds none is refused, and ended is called unless it is nil. A nil budget
// is unlimited.
func countHeads(budget *memory.Budget, retryAfter time.Duration, ended func(Reason, string), next http.Handler) http.Handler {
	if budget == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		head := budget.ReserveHead()
		defer head.Release()
		if head.TrySet(ParsedBytes(r)) {
			next.ServeHTTP(w, r)
			return
		}
		if ended != nil {
			ended(NoMemoryForHead, r.RemoteAddr)
		}
		w.Header().Set("Retry-After", inSeconds(retryAfter))
		w.Header().Set("Connection", "close")
		http.Error(w, string(NoMemoryForHead), http.StatusServiceUnavailable)
	})
}

// ParsedBytes returns how much memory the head of a request takes.
func ParsedBytes(r *http.Request) int64 {
	size, lines := len(r.RequestURI), 1
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
			lines++
		}
	}
	return memory.HeadBytes(size, lines)
}
