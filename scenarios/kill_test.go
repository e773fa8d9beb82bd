//go:build scenarios

package scenarios

import (
	"bufio"
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

	"quetzalbend/internal/adapter/rawanswer"
	"quetzalbend/platform"
)

// The end of the connection ends an answer without length and chunks: that of the process
// must not look like it.
func TestKilledGatewayResetsAStreamThatEndsWithItsConnection(t *testing.T) {
	s := &soak{gatewayFleet: newGatewayFleet(t, "kill")}
	s.putSettings(1)
	target := rawanswer.NewServer(t, func(r *http.Request) rawanswer.Answer {
		head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + r.Header.Get("Attempt-Id") + "\r\nServer-Stamp: stamp\r\n"
		if !strings.HasPrefix(r.URL.Path, "/stream/") {
			return rawanswer.Answer{Bytes: head + "\r\nanswer"}
		}
		return rawanswer.Answer{Bytes: head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: event 1\n\n", Hold: t.Context().Done()}
	})
	s.store.PutJSON(t, platform.TopicTargets, "i-1", map[string]any{
		"service": "app", "address": target.Address, "zone": "d1", "version": "v1", "slots": 10,
		"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1,
	})
	s.addGateway(0)
	s.waitServed(s.gateways[0], "/read/")

	conn, err := net.Dial("tcp", s.gateways[0].address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprint(conn, "POST /stream/ HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: a\r\nCredential: key-1\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	for line := ""; !strings.HasPrefix(line, "data: event 1"); {
		line, err = reader.ReadString('\n')
		assert.NilError(t, err)
	}
	assert.NilError(t, s.processes.signal(s.gateways[0].name, syscall.SIGKILL))
	_, err = io.ReadAll(reader)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}
