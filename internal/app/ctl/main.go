package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/adminhttp"
	"quetzalbend/internal/core/check"
	"quetzalbend/internal/program"
)

// globalOptions are the flags that all subcommands share.
type globalOptions struct {
	Config      string   `long:"config" value-name:"FILE" description:"JSON start-up file"`
	Server      []string `long:"server" value-name:"URL" description:"operators' URL of an entry; may be repeated"`
	TokenFile   string   `long:"token-file" value-name:"FILE" description:"file that holds the operator's token"`
	CAFile      string   `long:"ca-file" value-name:"FILE" description:"PEM certificates to check the entries' against"`
	JSON        bool     `long:"json" description:"print JSON"`
	CheckConfig bool     `long:"check-config" description:"check the start-up file and exit"`
	Version     bool     `long:"version" description:"print the version and exit"`
}

// tool holds the flags, streams and client of one run of the program.
type tool struct {
	globalOptions

	ctx    context.Context
	stdin  io.Reader
	out    io.Writer
	client *client
}

// command is a subcommand.
type command interface {
	run(t *tool) error
}

// Main runs the tool with its arguments and returns its exit code.
func Main(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) program.ExitCode {
	t := &tool{ctx: ctx, stdin: stdin, out: stdout}
	err := t.main(args)
	var flagsError *flags.Error
	switch {
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, err)
	case err != nil:
		_, _ = fmt.Fprintln(stderr, err)
	}
	return exitCode(err)
}

func (t *tool) main(args []string) error {
	parser := flags.NewNamedParser("quetzalbendctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Options", "", &t.globalOptions); err != nil {
		return err
	}
	commands, err := addCommands(parser.Command)
	if err != nil {
		return err
	}
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", rest[0])}
	}
	selected := parser.Command
	for selected.Active != nil {
		selected = selected.Active
	}
	return t.run(commands[selected])
}

func (t *tool) run(subcommand command) error {
	if t.Version {
		return t.printf("quetzalbendctl %s\n", program.Version())
	}
	if subcommand == nil && !t.CheckConfig {
		return &flags.Error{Type: flags.ErrCommandRequired, Message: "want a command; see --help"}
	}
	config, err := t.loadConfig()
	if err != nil {
		return err
	}
	if t.CheckConfig {
		return t.printf("ok\n")
	}
	if t.client, err = newClient(config); err != nil {
		return &exitError{code: program.ExitConfig, text: err.Error()}
	}
	return subcommand.run(t)
}

func (t *tool) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(t.out, format, args...)
	return errors.Wrap(err, "print")
}

// print writes value as JSON if --json is given. Otherwise it writes a table with
// aligned columns, to which fill adds the rows.
func (t *tool) print(value any, fill func(table io.Writer)) error {
	if t.JSON {
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "print")
	}
	table := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fill(table)
	return errors.Wrap(table.Flush(), "print")
}

// writeRow writes one row of a table, with tabs between the cells.
func writeRow(table io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(table, "\t")
		}
		_, _ = fmt.Fprint(table, cell)
	}
	_, _ = fmt.Fprintln(table)
}

// printResult prints the result and the warnings of a write.
func (t *tool) printResult(path string, result adminhttp.WriteResult) error {
	return t.print(result, func(table io.Writer) {
		writeRow(table, path, result.Status, fmt.Sprintf("offset %d", result.Offset))
		printProblems(table, result.Warnings)
	})
}

func printProblems(table io.Writer, problems []check.Problem) {
	for _, problem := range problems {
		writeRow(table, problem.String())
	}
}
