// Command quetzalbend-agent is the agent on a target VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/jessevdk/go-flags"

	"quetzalbend/internal/app/agent"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitStartup = 3 // the start-up file is wrong
)

var version = "dev"

type options struct {
	Config      string `long:"config" value-name:"FILE" description:"JSON start-up file"`
	CheckConfig bool   `long:"check-config" description:"check the start-up file and exit"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return exitOK
		}
		return exitUsage
	}
	if opts.Version {
		fmt.Println("quetzalbend-agent", version)
		return exitOK
	}
	config, err := agent.LoadConfig(opts.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitStartup
	}
	if opts.CheckConfig {
		return exitOK
	}
	return serve(config)
}

func serve(config agent.Config) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	a, err := agent.New(config)
	if err != nil {
		log.WithError(err).Error("start")
		return exitFailed
	}
	if err := a.Run(ctx); err != nil {
		log.WithError(err).Error("serve")
		return exitFailed
	}
	return exitOK
}
