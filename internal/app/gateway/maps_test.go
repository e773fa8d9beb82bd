package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/ranklink"
)

// To other VMs, an engine reports a state that is some hundred milliseconds old. A
// leader that mistook it for the current state released a group although it had just
// disarmed one of its ranks.
func TestRankIsReadOnlyThroughItsAgent(t *testing.T) {
	var asked atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		io.WriteString(w, `{"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":1}`) //nolint:errcheck // a test's client
	}))
	defer engine.Close()
	ranks := newRankAccess(freePorts(t, 1)[0]) // no agent listens there
	target := fleet.Target{Address: strings.TrimPrefix(engine.URL, "http://")}
	_, _, err := ranks.State(t.Context(), target, ranklink.StateOptions{})
	assert.Assert(t, err != nil)
	assert.Equal(t, asked.Load(), int64(0))
}
