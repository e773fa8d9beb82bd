package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalbend/internal/core/check"
	"quetzalbend/internal/startup"
)

// ExitCode is what a command tells its caller by its exit.
type ExitCode int

// Exit codes of all commands.
const (
	ExitOK     ExitCode = 0
	ExitFailed ExitCode = 1 // the work failed
	ExitUsage  ExitCode = 2 // unknown flag or missing argument
	ExitConfig ExitCode = 3 // the start-up file cannot be read or is refused
)

// Options are the flags of every long-running command.
type Options struct {
	Config      string `long:"config" value-name:"FILE" description:"JSON start-up file"`
	CheckConfig bool   `long:"check-config" description:"check the start-up file and exit"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

// Main runs a long-running command until its work ends or SIGTERM or SIGINT
// cancels the context of run, and returns its exit code. A nil check accepts
// every well-formed start-up file.
func Main[T any](name string, args []string, checkConfig func(*T) []check.Problem, run func(context.Context, T) error) ExitCode {
	options := Options{}
	if code, done := parse(name, args, &options, &options.Version); done {
		return code
	}
	if options.Config == "" {
		return fail(ExitUsage, errors.New("--config FILE is required"))
	}
	config, err := startup.Load(options.Config, checkConfig)
	if err != nil {
		return fail(ExitConfig, err)
	}
	if options.CheckConfig {
		fmt.Println("ok")
		return ExitOK
	}
	return Run(func(ctx context.Context) error { return run(ctx, config) })
}

// Run runs work until it ends; SIGTERM and SIGINT cancel its context.
func Run(work func(context.Context) error) ExitCode {
	log.SetHandler(json.New(os.Stderr))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := work(ctx); err != nil {
		return fail(ExitFailed, err)
	}
	return ExitOK
}

// version is set by the build: -ldflags "-X quetzalbend/internal/program.version=…".
var version string

// Version returns the version that the build carries.
func Version() string {
	if version != "" {
		return version
	}
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// parse reads a command's flags into options and prints the version if that is
// asked for. It returns the exit code if that is all there is to do.
func parse(name string, args []string, options any, version *bool) (ExitCode, bool) {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		return fail(ExitUsage, err), true
	}
	rest, err := parser.ParseArgs(args)
	if code, done := parsed(rest, err); done {
		return code, true
	}
	if *version {
		fmt.Println(name, Version())
		return ExitOK, true
	}
	return ExitOK, false
}

// parsed turns the outcome of parsing flags into an exit code, if that is all
// there is to do.
func parsed(rest []string, err error) (ExitCode, bool) {
	var flagsError *flags.Error
	switch {
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Println(flagsError.Message)
		return ExitOK, true
	case err != nil:
		return fail(ExitUsage, err), true
	case len(rest) > 0:
		return fail(ExitUsage, errors.Errorf("unexpected argument %q", rest[0])), true
	}
	return ExitOK, false
}

func fail(code ExitCode, err error) ExitCode {
	fmt.Fprintln(os.Stderr, err)
	return code
}

// HostedOptions are the flags of a command whose settings file is named by its
// environment.
type HostedOptions struct {
	Version bool `long:"version" description:"print the version and exit"`
}

// Hosted runs a command that finds its settings by itself until its work ends
// or SIGTERM or SIGINT cancels the context of run, and returns its exit code.
func Hosted(name string, args []string, run func(context.Context) error) ExitCode {
	options := HostedOptions{}
	if code, done := parse(name, args, &options, &options.Version); done {
		return code
	}
	return Run(run)
}
