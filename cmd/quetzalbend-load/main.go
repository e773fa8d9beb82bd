// Command quetzalbend-load generates load and runs experiments. Each experiment
// is a subcommand.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalbend/internal/app/load/affinity"
	"quetzalbend/internal/app/load/checkpoint"
	"quetzalbend/internal/app/load/control"
	"quetzalbend/internal/app/load/demo"
	"quetzalbend/internal/app/load/departure"
	"quetzalbend/internal/app/load/layout"
	"quetzalbend/internal/app/load/limits"
	"quetzalbend/internal/app/load/overhead"
	"quetzalbend/internal/app/load/skew"
	"quetzalbend/internal/program"
)

// experiments holds the functions that add the experiments' subcommands to the
// parser.
var experiments = []func(parser *flags.Parser) error{
	affinity.Register,
	checkpoint.Register,
	control.Register,
	demo.Register,
	layout.Register,
	limits.Register,
	limits.RegisterFlood,
	departure.Register,
	overhead.Register,
	skew.Register,
}

const name = "quetzalbend-load"

// options holds the flags of the command itself, without those of subcommands.
type options struct {
	Version func() `long:"version" description:"print the version and exit"`
}

func main() {
	parser := flags.NewNamedParser(name, flags.Default)
	general := &options{Version: func() {
		fmt.Println(name, program.Version())
		os.Exit(int(program.ExitOK))
	}}
	if _, err := parser.AddGroup("Options", "", general); err != nil {
		os.Exit(int(program.ExitFailed))
	}
	for _, register := range experiments {
		if err := register(parser); err != nil {
			os.Exit(int(program.ExitFailed))
		}
	}
	_, err := parser.Parse()
	os.Exit(int(exitCode(err)))
}

func exitCode(err error) program.ExitCode {
	var flagsError *flags.Error
	switch {
	case err == nil:
		return program.ExitOK
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		return program.ExitOK
	case errors.As(err, &flagsError):
		return program.ExitUsage
	}
	return program.ExitFailed
}
