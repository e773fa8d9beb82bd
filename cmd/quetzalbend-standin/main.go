// Command quetzalbend-standin runs a stand-in, that is a simulator, for the
// platform, an engine, a group of ranks or a plain service. Tests and the demo use
// it.
package main

import (
	"fmt"
	"io"
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
		usage(os.Stderr, program.ExitUsage)
	}
	switch os.Args[1] {
	case "--help", "-h":
		usage(os.Stdout, program.ExitOK)
	case "--version":
		fmt.Println(name, program.Version())
		return
	}
	run, ok := subcommands[os.Args[1]]
	if !ok {
		usage(os.Stderr, program.ExitUsage)
	}
	os.Exit(int(run(name+" "+os.Args[1], os.Args[2:])))
}

// usage prints the usage of the command and exits.
func usage(w io.Writer, code program.ExitCode) {
	names := slices.Sorted(maps.Keys(subcommands))
	_, _ = fmt.Fprintf(w, "usage: %s %s [OPTIONS]\n", name, strings.Join(names, "|"))
	os.Exit(int(code))
}
