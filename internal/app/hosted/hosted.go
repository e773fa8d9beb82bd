// Package hosted frames the programs that the users' platform starts: it loads
// the node's settings file and keeps the log until the program has ended.
package hosted

import (
	"context"
	"os"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/eventlog"
	"quetzalbend/platform"
)

// Run runs a program of this node until its work ends.
func Run(ctx context.Context, work func(context.Context, fleet.Node, *eventlog.Log) error) error {
	node, err := platform.LoadNode()
	if err != nil {
		return err
	}
	log := eventlog.New(os.Stdout)
	finishLog := log.Start()
	defer finishLog()
	err = work(ctx, node, log)
	log.State("stopped", eventlog.Fields{"node": node.Name})
	return err
}
