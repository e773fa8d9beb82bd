package ctl

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/adminhttp"
	"quetzalbend/internal/core/schema"
)

type pathArgument struct {
	Path string `positional-arg-name:"PATH" description:"settings path, such as /domains/a"`
}

type getCommand struct {
	VersionOnly bool         `long:"version-only" description:"print the version instead of the value"`
	Args        pathArgument `positional-args:"yes" required:"yes"`
}

func (c *getCommand) run(t *tool) error {
	got, err := t.client.call(t.ctx, http.MethodGet, settingURL(c.Args.Path), nil, nil)
	if err != nil {
		return err
	}
	if !c.VersionOnly {
		return t.printf("%s", got.body)
	}
	version, err := got.version()
	if err != nil {
		return err
	}
	return t.printf("%d\n", version)
}

type conditionOptions struct {
	IfVersion *int64 `long:"if-version" value-name:"N" description:"only if the path has this version"`
	IfAbsent  bool   `long:"if-absent" description:"only if the path does not exist"`
}

func (o conditionOptions) condition() condition {
	return condition{version: o.IfVersion, absent: o.IfAbsent}
}

type putCommand struct {
	conditionOptions

	Args struct {
		Path string `positional-arg-name:"PATH"`
		File string `positional-arg-name:"FILE" description:"JSON value; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func (c *putCommand) run(t *tool) error {
	value, err := t.readFile(c.Args.File, schema.MaxValueBytes)
	if err != nil {
		return err
	}
	result, err := t.client.write(t.ctx, c.Args.Path, value, c.condition())
	if err != nil {
		return err
	}
	return t.printResult(c.Args.Path, result)
}

// readFile reads a file of at most limit bytes, or standard input if its name is
// "-". An empty file gives a non-nil slice, since client.write deletes for nil.
func (t *tool) readFile(name string, limit int64) ([]byte, error) {
	source := t.stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "read file")
		}
		defer func() { _ = file.Close() }()
		source = file
	}
	data, err := io.ReadAll(io.LimitReader(source, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read file")
	}
	if int64(len(data)) > limit {
		return nil, &exitError{code: ExitInvalid, text: fmt.Sprintf("%s: want at most %d bytes", name, limit)}
	}
	if data == nil {
		data = []byte{}
	}
	return data, nil
}

type deleteCommand struct {
	IfVersion *int64       `long:"if-version" value-name:"N" description:"only if the path has this version"`
	Args      pathArgument `positional-args:"yes" required:"yes"`
}

func (c *deleteCommand) run(t *tool) error {
	result, err := t.client.write(t.ctx, c.Args.Path, nil, condition{version: c.IfVersion})
	if err != nil {
		return err
	}
	return t.printResult(c.Args.Path, result)
}

type listCommand struct {
	Args struct {
		Prefix string `positional-arg-name:"PREFIX" description:"path at which to start, default /"`
	} `positional-args:"yes"`
}

func (c *listCommand) run(t *tool) error {
	list, err := t.client.list(t.ctx, c.Args.Prefix)
	if err != nil {
		return err
	}
	return t.print(list, func(table io.Writer) {
		writeRow(table, "VERSION", "PATH", "AUTHOR", "VALUE")
		for _, setting := range list.Settings {
			writeRow(table, setting.Version, setting.Path, setting.Author, string(setting.Value))
		}
	})
}

type historyCommand struct {
	Args pathArgument `positional-args:"yes" required:"yes"`
}

func (c *historyCommand) run(t *tool) error {
	var history adminhttp.History
	if err := t.client.get(t.ctx, "history", url.Values{"path": {c.Args.Path}}, &history); err != nil {
		return err
	}
	return t.print(history, func(table io.Writer) {
		writeRow(table, "OFFSET", "VERDICT", "AUTHOR", "OPERATION", "VALUE")
		for _, change := range history.Changes {
			value := string(change.Value)
			if change.Deleted {
				value = "(deleted)"
			}
			writeRow(table, change.Offset, change.Verdict, change.Author, change.Operation, value)
		}
	})
}

type outcomeCommand struct {
	Args struct {
		Operation string `positional-arg-name:"OPERATION"`
	} `positional-args:"yes" required:"yes"`
}

func (c *outcomeCommand) run(t *tool) error {
	var result adminhttp.WriteResult
	operation := url.PathEscape(c.Args.Operation)
	if err := t.client.get(t.ctx, "operations/"+operation, nil, &result); err != nil {
		return err
	}
	if err := t.printResult(result.Operation, result); err != nil {
		return err
	}
	return outcomeError(result)
}

// outcomeError returns nil for an accepted write. For any other it returns an
// error with the exit code.
func outcomeError(result adminhttp.WriteResult) error {
	switch result.Status {
	case "accepted":
		return nil
	case "rejected":
		return &exitError{code: ExitConflict, text: result.Reason}
	case "not_accepted":
		return &exitError{code: ExitUnavailable, text: result.Reason}
	}
	return &exitError{code: ExitUnknown, text: result.Reason}
}

// setStateCommand takes a failure domain or target out, or brings it back.
type setStateCommand struct {
	kind  string // first part of a settings path: domains or targets
	state schema.AdminState

	Wait bool `long:"wait" description:"wait until the change is in force at all nodes"`
	waitOptions
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// run changes only the state field of a failure domain or target.
func (c *setStateCommand) run(t *tool) error {
	path, err := c.path(t)
	if err != nil {
		return err
	}
	got, err := t.client.call(t.ctx, http.MethodGet, settingURL(path), nil, nil)
	if err != nil {
		return err
	}
	version, err := got.version()
	if err != nil {
		return err
	}
	value, err := withState(got.body, c.state)
	if err != nil {
		return errors.Wrap(err, path)
	}
	result, err := t.client.write(t.ctx, path, value, condition{version: &version})
	if err != nil {
		return err
	}
	if err := t.printResult(path, result); err != nil || !c.Wait {
		return err
	}
	return t.wait(result.Offset, c.timeout())
}

// path returns the settings path of the failure domain or target. The path of a
// target is looked up, since the target may be in the subtree of a team.
func (c *setStateCommand) path(t *tool) (string, error) {
	if c.kind != "targets" {
		return "/" + c.kind + "/" + c.Args.Name, nil
	}
	var targets adminhttp.Targets
	if err := t.client.get(t.ctx, "targets", nil, &targets); err != nil {
		return "", err
	}
	for _, target := range targets.Targets {
		if target.Name == c.Args.Name {
			return target.Path, nil
		}
	}
	return "", &exitError{code: ExitNotFound, text: "there is no target " + c.Args.Name}
}

// settingURL returns the path of a setting in the API.
func settingURL(path string) string { return "settings/" + strings.TrimPrefix(path, "/") }
