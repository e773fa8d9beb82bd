// Command quetzalbend-standin plays the platform, an engine, a group of ranks or
// a plain service in tests and in the demo.
package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"quetzalbend/internal/app/standin/engine"
	"quetzalbend/internal/app/standin/platform"
	"quetzalbend/internal/app/standin/ranks"
	"quetzalbend/internal/app/standin/service"
	"quetzalbend/internal/program"
)

const name = "quetzalbend-standin"

var subcommands = map[string]func(name string, args []string) program.ExitCode{
	"engine": func(name string, args []string) program.ExitCode {
		return program.Main(name, args, nil, engine.Run)
	},
	"platform": func(name string, args []string) program.ExitCode {
		return program.Main(name, args, nil, platform.Run)
	},
	"ranks": func(name string, args []string) program.ExitCode {
		return program.Main(name, args, nil, ranks.Run)
	},
	"service": func(name string, args []string) program.ExitCode {
		return program.Main(name, args, nil, service.Run)
	},
}

func main() {
	if len(os.Args) < 2 {
		usage()
	}
	run, ok := subcommands[os.Args[1]]
	if !ok {
		usage()
	}
	os.Exit(int(run(name+" "+os.Args[1], os.Args[2:])))
}

func usage() {
	names := slices.Sorted(maps.Keys(subcommands))
	fmt.Fprintf(os.Stderr, "usage: %s %s [OPTIONS]\n", name, strings.Join(names, "|"))
	os.Exit(int(program.ExitUsage))
}
