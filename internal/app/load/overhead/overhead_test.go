package overhead

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/app/standin/engine"
)

func command(engineURL, entryURL string) *Command {
	return &Command{Engine: engineURL, Entry: entryURL, Rate: 500, Seconds: 0.1, Rounds: 2, Tokens: 1, Workers: 2, MaxSeconds: 0.02}
}

func TestBothPathsAreMeasured(t *testing.T) {
	server := httptest.NewServer(engine.New(engine.Config{Warm: true}))
	defer server.Close()
	spent := 0.0
	operators := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		spent += 0.005
		_, _ = fmt.Fprintf(w, "other 1\n%s%g\n", cpuMetric, spent)
	}))
	defer operators.Close()
	c := command(server.URL, server.URL)
	c.EntryOperators = operators.URL
	result, err := measure(context.Background(), c)
	assert.NilError(t, err)
	assert.Equal(t, result.Requests, int64(50))
	assert.Equal(t, result.DirectFailed+result.ThroughFailed, int64(0))
	assert.Assert(t, result.DirectP99MS > 0 && result.ThroughP99MS >= result.ThroughP50MS)
	assert.Assert(t, result.MaxRPSThrough > 0)
	assert.Equal(t, fmt.Sprintf("%.0f", result.EntryCPUPerCallUS), "200") // 5 ms for 25 requests
}

func TestFailedRequestsFailTheMeasurement(t *testing.T) {
	server := httptest.NewServer(engine.New(engine.Config{Warm: true}))
	defer server.Close()
	broken := httptest.NewServer(http.NotFoundHandler())
	defer broken.Close()
	_, err := measure(context.Background(), command(server.URL, broken.URL))
	assert.ErrorContains(t, err, "served no warm-up request")
}
