package supervise

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/pause"
)

// restartPause is the time from a panic of a loop until it starts again, so that one that
// panics at once does not use up the processor.
const restartPause = 500 * time.Millisecond

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// Loop runs a loop until it returns or ctx ends. After each panic, it calls recovered, which
// may be nil, and starts the loop again.
func Loop(ctx context.Context, log *eventlog.Log, name string, loop func(context.Context) error, recovered func()) error {
	for {
		panicked, err := run(ctx, log, name, loop)
		if !panicked {
			return err
		}
		if recovered != nil {
			recovered()
		}
		if !pause.For(ctx, restartPause) {
			return nil
		}
	}
}

func run(ctx context.Context, log *eventlog.Log, name string, loop func(context.Context) error) (panicked bool, err error) {
	panicked = true
	defer recoverPanic(log, name)
	err = loop(ctx)
	return false, err
}

// Task runs a task. A panic ends the task only.
func Task(log *eventlog.Log, name string, task func()) {
	defer recoverPanic(log, name)
	task()
}

// recoverPanic must be deferred. It logs the panic of the goroutine, if there is one.
func recoverPanic(log *eventlog.Log, name string) {
	cause := recover()
	if cause == nil {
		return
	}
	stack := debug.Stack()
	log.Problem("panic in the background", errors.Errorf("%v", cause), eventlog.Fields{
		"task": name, "stack": string(stack[:min(len(stack), maxStackBytes)]),
	})
}
