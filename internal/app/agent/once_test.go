package agent

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/app/standin/platform"
	"quetzalbend/internal/app/standin/service"
	"quetzalbend/internal/wire"
)

func newServiceCall(requestID, key string) *wire.Call {
	work := &wire.ServiceCall{Service: "certs", Method: "POST", Path: "/certificates", IdempotencyKey: key}
	return &wire.Call{RequestId: requestID, Account: "a", DeadlineMs: 10_000, Work: &wire.Call_Service{Service: work}}
}

func TestCallThatMayNotBeRepeatedRunsOnceAcrossAgents(t *testing.T) {
	log := httptest.NewServer(platform.New(platform.Config{}).Handler())
	t.Cleanup(log.Close)
	certs := service.New()
	target := httptest.NewServer(certs)
	t.Cleanup(target.Close)
	config := Config{Service: target.URL, ServiceName: "certs", Team: "t", Platform: log.URL}
	first, stop := runAgent(t, config)
	last, body := lastFrame(t, openCall(t, first, newServiceCall("r1", "k")))
	assert.Assert(t, last.GetFinal() != nil, "%v", last)
	assert.NilError(t, stop())

	second, _ := runAgent(t, config)
	last, again := lastFrame(t, openCall(t, second, newServiceCall("r2", "k")))
	assert.Assert(t, last.GetFinal().GetReplayed())
	assert.Equal(t, again, body)
	assert.Equal(t, certs.Truth().Runs["k"], 1)
}
