package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/memory"
	"quetzalbend/platform/platformtest"
)

func TestBodyBeyondTheMemoryOfTheGatewayIsRefusedAndNotRun(t *testing.T) {
	const answer, large, small = maxAnswerHeadBytes + eventBuffer + aheadBytes, 3000, 500
	const process = (answer + 2000) * 100 / 38 // requests may use 0.85 of 0.45 of it
	one := platformtest.NewTarget(t, "i-1")
	b := newTestbed(t, one)
	b.gateway.memory = memory.NewBudget(process)
	for name, body := range map[string]func(size int) io.Reader{
		"with a length": func(size int) io.Reader { return strings.NewReader(strings.Repeat("x", size)) },
		"in chunks":     func(size int) io.Reader { return io.MultiReader(strings.NewReader(strings.Repeat("x", size))) },
	} {
		t.Run(name, func(t *testing.T) {
			before := ran(one)
			request := b.request(t.Context(), http.MethodPost, "/once/", "")
			request.Body = io.NopCloser(body(large))
			request.ContentLength = -1
			if name == "with a length" {
				request.ContentLength = large
			}
			got := b.do(request)
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			assert.Assert(t, err == nil && wait > 0)
			assert.Equal(t, ran(one), before)
			assert.Equal(t, b.post("/once/", strings.Repeat("x", small)).status, http.StatusOK)
			b.wait("the memory is free again", func() bool { return b.gateway.memory.Used() == 0 })
		})
	}
}
