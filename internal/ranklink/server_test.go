package ranklink

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/mapchange"
	"quetzalbend/internal/eventlog"
	"quetzalbend/platform"
)

// silentEngine answers no orders.
type silentEngine struct{}

func (silentEngine) Report(context.Context) (mapchange.Rank, error) { return mapchange.Rank{}, nil }

func (silentEngine) Counts(context.Context) ([]int64, error) { return nil, nil }

func (silentEngine) Placement(context.Context) (platform.Placement, error) {
	return platform.Placement{}, nil
}

func (silentEngine) SendOrder(ctx context.Context, _ platform.RankOrder) (platform.OrderAnswer, error) {
	<-ctx.Done()
	return platform.OrderUnknown, ctx.Err()
}

// The leader allows a prepare order one second, and can send it again only once it knows
// that the engine has not answered.
func TestOrderThatTheEngineDoesNotAnswerIsReportedByTheAgent(t *testing.T) {
	server := httptest.NewServer(Handler(silentEngine{}, eventlog.New(io.Discard)))
	defer server.Close()
	host, port, err := net.SplitHostPort(server.Listener.Addr().String())
	assert.NilError(t, err)
	number, err := strconv.Atoi(port)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	answer, err := NewClient(number).SendOrder(ctx, host, platform.RankOrder{Order: mapchange.Order{Operation: mapchange.Prepare, Version: 1}})
	assert.Equal(t, answer, platform.OrderUnknown)
	assert.Assert(t, err != nil)
	assert.NilError(t, ctx.Err(), "the agent gave no answer")
}
