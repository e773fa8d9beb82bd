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
	"quetzalbend/internal/core/mapchange"
	"quetzalbend/internal/ranklink"
	"quetzalbend/platform"
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
	ranks := newRankAccess(freePorts(t, 1)[0], nil) // no agent listens there
	target := fleet.Target{Address: strings.TrimPrefix(engine.URL, "http://")}
	_, _, err := ranks.State(t.Context(), target, ranklink.StateOptions{})
	assert.Assert(t, err != nil)
	assert.Equal(t, asked.Load(), int64(0))
}

// A rank that says that it leaves in the answer to an order got requests on.
func TestAnswerToAnOrderTellsThatItsTargetLeaves(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		w.WriteHeader(http.StatusConflict)
	}))
	defer engine.Close()
	var leaving []string
	ranks := newRankAccess(freePorts(t, 1)[0], func(id string, _ int64) { leaving = append(leaving, id) })
	target := fleet.Target{ID: "i-1", Address: strings.TrimPrefix(engine.URL, "http://")}
	answer, err := ranks.SendOrder(t.Context(), target, platform.RankOrder{Order: mapchange.Order{Operation: mapchange.Hold, Step: 9}})
	assert.Equal(t, answer, platform.OrderRefused)
	assert.Assert(t, err != nil)
	assert.DeepEqual(t, leaving, []string{"i-1"})
}
