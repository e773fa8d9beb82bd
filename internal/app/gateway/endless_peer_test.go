package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/platform"
)

func TestStateWithoutEndOfAPeerIsAbandoned(t *testing.T) {
	const limit = 24 << 20 // its own limit, and what the buffers of two sockets hold
	var sent atomic.Int64
	closed := make(chan struct{})
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(closed)
		for piece := strings.Repeat("x", 1000); ; sent.Add(int64(len(piece))) {
			if _, err := io.WriteString(w, piece); err != nil {
				return
			}
		}
	}))
	t.Cleanup(peer.Close)
	b := newTestbed(t)
	address := strings.TrimPrefix(peer.URL, "http://")
	_, err := b.gateway.peers.fetch(t.Context(), address, platform.Position{}, platform.Position{})
	assert.Assert(t, err != nil)
	<-closed
	assert.Assert(t, sent.Load() < limit, "%d bytes of a state were taken", sent.Load())
}
