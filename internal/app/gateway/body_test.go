package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/memory"
	"quetzalbend/platform/platformtest"
)

func TestBodyBeyondTheMemoryOfTheGatewayIsRefusedAndNotRun(t *testing.T) {
	const process, large, small = 5000, 3000, 500
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

func TestBodyIsReadWholeWhateverItsLength(t *testing.T) {
	for _, size := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 100_000} {
		text := strings.Repeat("0123456789", size/10+1)[:size]
		for _, length := range []int64{-1, int64(size)} {
			body, err := readWithin(iotest.OneByteReader(strings.NewReader(text)), length, memory.NewBudget(0).Reserve())
			assert.NilError(t, err)
			assert.Equal(t, string(body), text)
		}
	}
	_, err := readWithin(iotest.ErrReader(io.ErrUnexpectedEOF), 10, memory.NewBudget(0).Reserve())
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}
