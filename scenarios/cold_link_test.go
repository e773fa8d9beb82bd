//go:build scenarios

package scenarios

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// sendTimes holds when requests were sent to a target: when the sender's kernel took their
// bytes, which on the loopback device the receiver is told. It is exact even if this process
// does not run for a while.
type sendTimes struct {
	mu   sync.Mutex
	byID map[string]time.Time
	late time.Duration // requests are read up to this long after they were sent
}

func newSendTimes() *sendTimes { return &sendTimes{byID: make(map[string]time.Time)} }

// setLate makes the target read requests up to late after they were sent.
func (s *sendTimes) setLate(late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = late
}

func (s *sendTimes) drawLate() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.N(s.late + 1)
}

// record records when a request was sent. A target gets each request once, since each is
// attempted once.
func (s *sendTimes) record(data []byte, sent time.Time) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
	if err != nil {
		return // not the head of a request; a request without its time fails the test
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[request.Header.Get("Attempt-Id")] = sent
}

func (s *sendTimes) of(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, found := s.byID[id]
	return sent, found
}

// newColdLink returns a link to a target that records when requests were sent.
func newColdLink(t *testing.T, address string, times *sendTimes) *soakLink {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var err error
		controlErr := conn.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return newSoakLinkAt(t, timedListener{listener, times}, address)
}

type timedListener struct {
	net.Listener
	times *sendTimes
}

func (l timedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timedConn{TCPConn: conn.(*net.TCPConn), times: l.times}, nil
}

// timedConn is a connection whose first read records when the data was sent.
type timedConn struct {
	*net.TCPConn
	times *sendTimes
	begun bool
}

func (c *timedConn) Read(buffer []byte) (int, error) {
	if c.begun {
		return c.TCPConn.Read(buffer)
	}
	c.begun = true
	<-time.After(c.times.drawLate())
	count, sent, err := readTimed(c.TCPConn, buffer)
	if err == nil && count > 0 {
		c.times.record(buffer[:count], sent)
	}
	return count, err
}

// readTimed reads data and returns when it was sent.
func readTimed(conn *net.TCPConn, buffer []byte) (count int, sent time.Time, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, sent, err
	}
	control := make([]byte, 64)
	var controlled int
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		count, controlled, _, _, readErr = syscall.Recvmsg(int(fd), buffer, control, 0)
		return !errors.Is(readErr, syscall.EAGAIN)
	})
	if err == nil {
		err = readErr
	}
	switch {
	case err != nil:
		return 0, sent, err
	case count == 0:
		return 0, sent, io.EOF
	}
	messages, err := syscall.ParseSocketControlMessage(control[:controlled])
	if err != nil {
		return count, sent, err
	}
	for _, m := range messages {
		if m.Header.Type == syscall.SCM_TIMESTAMPNS {
			seconds, nanos := binary.NativeEndian.Uint64(m.Data), binary.NativeEndian.Uint64(m.Data[8:])
			return count, time.Unix(int64(seconds), int64(nanos)), nil
		}
	}
	return count, sent, errors.New("no time of sending")
}
