package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/platform/platformtest"
)

// Connections stayed open for two minutes whatever the settings said, until a gateway had no
// descriptor left (review/8).
func TestIdleConnectionIsClosedAfterTheTimeOfTheSettings(t *testing.T) {
	b := newTestbed(t, platformtest.NewTarget(t, "i-1"))
	settings := testSettings(2)
	settings["limits"].(object)["idleTimeoutMs"] = 500
	b.store.PutJSON(t, "keyed.op", "config", settings)
	b.wait("the settings are in force", func() bool { return b.gateway.state.View().Settings.Version == 2 })
	conn, err := net.Dial("tcp", b.gateway.node.CallerAddress)
	assert.NilError(t, err)
	defer conn.Close() //nolint:errcheck // the test is over
	assert.NilError(t, b.request(t.Context(), http.MethodGet, "/read/", "").Write(conn))
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(answer.Body)
	assert.NilError(t, err)
	answered := time.Now()
	assert.NilError(t, conn.SetReadDeadline(answered.Add(5*time.Second)))
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Assert(t, time.Since(answered) >= 400*time.Millisecond, "closed after %s", time.Since(answered))
}
