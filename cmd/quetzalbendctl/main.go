// Command quetzalbendctl is the command-line client for operators of the entries.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"quetzalbend/internal/app/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := ctl.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
