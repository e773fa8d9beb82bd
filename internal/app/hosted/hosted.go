// Package hosted runs the programs that the users' platform starts: it loads the
// node's settings file, starts the log, and writes the queued lines when the program
// ends.
package hosted

import (
	"context"
	"os"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/eventlog"
	"quetzalbend/platform"
)

// Run loads this node's settings and calls run, the program's main function, with
// them.
func Run(ctx context.Context, run func(context.Context, fleet.Node, *eventlog.Log) error) error {
	node, err := platform.LoadNode()
	if err != nil {
		return err
	}
	log := eventlog.New(os.Stdout)
	finishLog := log.Start()
	defer finishLog()
	err = run(ctx, node, log)
	log.State("stopped", eventlog.Fields{"node": node.Name})
	return err
}
