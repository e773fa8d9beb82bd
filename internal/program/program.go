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

// ExitCode is the exit status of a command.
type ExitCode int

// Exit codes of all commands.
const (
	ExitOK     ExitCode = 0
	ExitFailed ExitCode = 1 // the work failed
	ExitUsage  ExitCode = 2 // unknown flag or missing argument
	ExitConfig ExitCode = 3 // the start-up file cannot be read or was rejected
)

// Options are the flags of a command that Main runs.
type Options struct {
	Config      string `long:"config" value-name:"FILE" description:"JSON start-up file"`
	CheckConfig bool   `long:"check-config" description:"check the start-up file and exit"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

// Main runs a command with a start-up file until its work ends or SIGTERM or
// SIGINT cancels the context of run, and returns the exit code. A nil checkConfig
// accepts every well-formed start-up file.
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

// Run runs work until it ends and returns the exit code. SIGTERM and SIGINT cancel
// its context.
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

// Version returns the version of the build.
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

// parse reads a command's flags into options and prints the version if the flag
// for it is set. It returns an exit code and true if the command must exit now.
func parse(name string, args []string, options any, version *bool) (ExitCode, bool) {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		return fail(ExitUsage, err), true
	}
	rest, err := parser.ParseArgs(args)
	if code, done := parseOutcome(rest, err); done {
		return code, true
	}
	if *version {
		fmt.Println(name, Version())
		return ExitOK, true
	}
	return ExitOK, false
}

// parseOutcome returns an exit code and true if the result of parsing flags means
// that the command must exit now.
func parseOutcome(rest []string, err error) (ExitCode, bool) {
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

// OptionsWithoutConfig are the flags of a command that MainWithoutConfig runs.
type OptionsWithoutConfig struct {
	Version bool `long:"version" description:"print the version and exit"`
}

// MainWithoutConfig runs a command that has no --config flag, since an environment
// variable names its settings file. It calls run, whose context SIGTERM or SIGINT
// cancels, and returns the exit code once run has returned.
func MainWithoutConfig(name string, args []string, run func(context.Context) error) ExitCode {
	options := OptionsWithoutConfig{}
	if code, done := parse(name, args, &options, &options.Version); done {
		return code
	}
	return Run(run)
}
