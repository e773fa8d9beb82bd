package supervise

import (
	"context"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/eventlog"
)

func TestLoopThatPanicsStartsAgainAndItsErrorIsReturned(t *testing.T) {
	want := errors.New("ended")
	starts, recovered := 0, 0
	err := Loop(t.Context(), eventlog.New(io.Discard), "test", func(context.Context) error {
		starts++
		if starts == 1 {
			panic("once")
		}
		return want
	}, func() { recovered++ })
	assert.Equal(t, err, want)
	assert.Equal(t, starts, 2)
	assert.Equal(t, recovered, 1)
}

func TestLoopThatPanicsEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	err := Loop(ctx, eventlog.New(io.Discard), "test", func(context.Context) error {
		cancel()
		panic("again and again")
	}, nil)
	assert.NilError(t, err)
}

func TestTaskThatPanicsEndsAlone(t *testing.T) {
	Task(eventlog.New(io.Discard), "test", func() { panic("once") })
}
