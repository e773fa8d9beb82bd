package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/wire"
)

// BenchmarkCall measures calls that are each answered with four frames, with four
// goroutines for each processor over one session.
func BenchmarkCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := NewServer(Config{}, func(_ context.Context, open *wire.Open, stream *Stream) {
		for i := range int64(4) {
			_ = stream.Send(&wire.AnswerFrame{RequestId: open.GetCall().GetRequestId(), Sequence: i})
		}
	})
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = listener.Close() }()
	pool := NewPool(Config{})
	defer func() { _ = pool.Close() }()
	var failed atomic.Int64
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if countAnswerFrames(pool, listener.Addr().String()) != 4 {
				failed.Add(1)
			}
		}
	})
	assert.Equal(b, failed.Load(), int64(0))
}

// countAnswerFrames makes one call and returns the number of answer frames.
func countAnswerFrames(pool *Pool, addr string) int {
	stream, err := pool.Open(context.Background(), addr, newCall())
	if err != nil {
		return 0
	}
	defer func() { _ = stream.Close() }()
	frames := 0
	for stream.Receive(&wire.AnswerFrame{}) == nil {
		frames++
	}
	return frames
}
