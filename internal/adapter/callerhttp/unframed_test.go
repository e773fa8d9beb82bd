package callerhttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/internal/dispatch"
)

// rawGet sends a call to a service and returns the bytes up to the end of the connection,
// and the error with which it ended.
func rawGet(t *testing.T, conn net.Conn, version string) (head, body string, err error) {
	t.Helper()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = fmt.Fprintf(conn, "GET /v1/services/entries/status %s\r\nHost: h\r\nAuthorization: Bearer secret\r\n\r\n", version)
	assert.NilError(t, err)
	data, err := io.ReadAll(conn)
	head, body, _ = strings.Cut(string(data), "\r\n\r\n")
	return strings.ToLower(head), body, err
}

func answering(answer dispatch.Answer) *fakeDispatcher {
	return &fakeDispatcher{respond: func(context.Context, dispatch.StreamWriter) (*dispatch.Answer, error) {
		copied := answer
		return &copied, nil
	}}
}

// An answer whose end the service has not marked may be cut: its caller must know no less
// than the entry.
func TestAnswerThatEndsWithItsConnectionDoesSoForItsCaller(t *testing.T) {
	for name, body := range map[string]string{"empty": "", "short": "half", "long": strings.Repeat("long body ", 100_000)} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for _, status := range []int{http.StatusOK, http.StatusNotFound} {
				t.Run(fmt.Sprint(name, " ", version, " ", status), func(t *testing.T) {
					addr := startServer(t, Config{Dispatcher: answering(dispatch.Answer{Status: status, Body: []byte(body), Unframed: true})})
					conn, err := net.Dial("tcp", addr)
					assert.NilError(t, err)
					defer conn.Close() //nolint:errcheck // the test ends
					head, got, err := rawGet(t, conn, version)
					assert.NilError(t, err)
					assert.Assert(t, strings.Contains(head, fmt.Sprint(" ", status, " ")), head)
					assert.Assert(t, got == body, "%d bytes", len(got))
					assert.Assert(t, !strings.Contains(head, "content-length") && !strings.Contains(head, "transfer-encoding"), head)
				})
			}
		}
	}
}

// A connection that ends while such an answer is written must not end it as if it were whole.
func TestCutAnswerThatEndsWithItsConnectionIsReset(t *testing.T) {
	body := strings.Repeat("long body ", 4_000_000) // more than the buffers of two sockets hold
	addr := startServer(t, Config{
		Dispatcher: answering(dispatch.Answer{Status: http.StatusOK, Body: []byte(body), Unframed: true}),
		Bounds:     Bounds{WriteTimeout: 100 * time.Millisecond},
	})
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer conn.Close() //nolint:errcheck // the test ends
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, "GET /v1/services/entries/status HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n\r\n")
	assert.NilError(t, err)
	buffer := make([]byte, 1<<10)
	_, err = conn.Read(buffer)
	assert.NilError(t, err)
	waitForReset(t, conn)
}

// waitForReset waits, without reading, until the peer of a connection has reset it.
func waitForReset(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		code, pending := 0, error(nil)
		err := raw.Control(func(fd uintptr) {
			code, pending = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		})
		switch {
		case err != nil || pending != nil:
			return poll.Error(errors.Errorf("%v %v", err, pending))
		case syscall.Errno(code) == syscall.ECONNRESET:
			return poll.Success()
		}
		return poll.Continue("waiting for a reset")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}
