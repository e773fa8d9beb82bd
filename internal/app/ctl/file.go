package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/adminhttp"
	"quetzalbend/internal/core/check"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/program"
)

// Limits of a settings file.
const (
	maxFileBytes = 4 << 20
	maxFileDepth = schema.MaxValueDepth + 1
)

// settingsFile maps paths to values. A null value deletes the path.
type settingsFile map[string]json.RawMessage

func (f settingsFile) deleted(path string) bool {
	return string(bytes.TrimSpace(f[path])) == "null"
}

// readSettings reads and decodes a settings file.
func (t *tool) readSettings(name string) (settingsFile, error) {
	data, err := t.readFile(name, maxFileBytes)
	if err != nil {
		return nil, err
	}
	file, problems := check.Decode[settingsFile](name, data, check.Bounds{Bytes: maxFileBytes, Depth: maxFileDepth})
	if len(problems) > 0 {
		return nil, &exitError{code: ExitInvalid, text: (&check.Error{Problems: problems}).Error()}
	}
	return file, nil
}

type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"JSON object of paths and values, null to delete; - for standard input"`
}

type validateCommand struct {
	Args fileArgument `positional-args:"yes" required:"yes"`
}

func (c *validateCommand) run(t *tool) error {
	file, err := t.readSettings(c.Args.File)
	if err != nil {
		return err
	}
	validation, err := t.validate(file)
	if err != nil {
		return err
	}
	err = t.print(validation, func(table io.Writer) {
		printProblems(table, validation.Problems)
		if validation.Valid {
			writeRow(table, "valid")
		}
	})
	if err == nil && !validation.Valid {
		err = &exitError{code: ExitInvalid, text: "not valid"}
	}
	return err
}

func (t *tool) validate(file settingsFile) (adminhttp.Validation, error) {
	var proposals adminhttp.Proposals
	for _, path := range slices.Sorted(maps.Keys(file)) {
		proposal := adminhttp.Proposal{Path: path, Delete: file.deleted(path)}
		if !proposal.Delete {
			proposal.Value = file[path]
		}
		proposals.Settings = append(proposals.Settings, proposal)
	}
	var validation adminhttp.Validation
	body, err := json.Marshal(proposals)
	if err != nil {
		return validation, errors.Wrap(err, "encode proposals")
	}
	got, err := t.client.call(t.ctx, http.MethodPost, "validate", nil, body)
	if err != nil {
		return validation, err
	}
	return validation, errors.Wrap(json.Unmarshal(got.body, &validation), "decode answer")
}

// list reads all pages of settings at and below a prefix.
func (c *client) list(ctx context.Context, prefix string) (adminhttp.List, error) {
	all := adminhttp.List{Settings: []adminhttp.Setting{}}
	var after string
	for {
		var page adminhttp.List
		if err := c.get(ctx, "settings", url.Values{"prefix": {prefix}, "after": {after}}, &page); err != nil {
			return all, err
		}
		all.Offset = page.Offset
		all.Settings = append(all.Settings, page.Settings...)
		if page.Next == "" {
			return all, nil
		}
		after = page.Next
	}
}

// difference is a path whose value in a file differs from the one in force.
type difference struct {
	Path    string          `json:"path"`
	Change  string          `json:"change"`  // add, change or delete
	Version int64           `json:"version"` // version in force, 0 for add
	Old     json.RawMessage `json:"old,omitempty"`
	New     json.RawMessage `json:"new,omitempty"`
}

// Values of difference.Change.
const (
	added   = "add"
	changed = "change"
	deleted = "delete"
)

// compare returns the differences between a file and the settings in force. They
// are ordered so that no write leaves a dangling reference.
func (t *tool) compare(file settingsFile) ([]difference, error) {
	list, err := t.client.list(t.ctx, "/")
	if err != nil {
		return nil, err
	}
	inForce := make(map[string]adminhttp.Setting, len(list.Settings))
	for _, setting := range list.Settings {
		inForce[setting.Path] = setting
	}
	differences := []difference{}
	for _, path := range slices.Sorted(maps.Keys(file)) {
		old, exists := inForce[path]
		d := difference{Path: path, Version: old.Version, Old: old.Value, New: file[path]}
		switch {
		case file.deleted(path) && exists:
			d.Change, d.New = deleted, nil
		case file.deleted(path) || sameJSON(old.Value, file[path]):
			continue
		case exists:
			d.Change = changed
		default:
			d.Change = added
		}
		differences = append(differences, d)
	}
	slices.SortStableFunc(differences, func(a, b difference) int { return sortKey(a) - sortKey(b) })
	return differences, nil
}

// kindOrder lists the kinds of path. Each kind refers only to earlier ones.
var kindOrder = []schema.Kind{
	schema.KindDomain, schema.KindTeam, schema.KindOperator, schema.KindAccount, schema.KindModel,
	schema.KindService, schema.KindTarget, schema.KindGroup, schema.KindWorkload,
}

// sortKey returns the place of a difference in the order of writes: values in the
// order of kindOrder, then deletions in the reverse order.
func sortKey(d difference) int {
	path, err := schema.ParsePath(d.Path)
	if err != nil {
		return len(kindOrder)
	}
	index := slices.Index(kindOrder, path.Kind)
	if d.Change == deleted {
		return 2*len(kindOrder) - index
	}
	return index
}

// sameJSON reports whether two documents are equal except for whitespace and
// field order.
func sameJSON(a, b []byte) bool {
	var valueA, valueB any
	if json.Unmarshal(a, &valueA) != nil || json.Unmarshal(b, &valueB) != nil {
		return false
	}
	encodedA, err := json.Marshal(valueA)
	if err != nil {
		return false
	}
	encodedB, err := json.Marshal(valueB)
	return err == nil && bytes.Equal(encodedA, encodedB)
}

type diffCommand struct {
	Args fileArgument `positional-args:"yes" required:"yes"`
}

func (c *diffCommand) run(t *tool) error {
	file, err := t.readSettings(c.Args.File)
	if err != nil {
		return err
	}
	differences, err := t.compare(file)
	if err != nil {
		return err
	}
	err = t.print(differences, func(table io.Writer) {
		for _, d := range differences {
			writeRow(table, d.Change, d.Path, string(d.Old), "->", string(d.New))
		}
	})
	if err == nil && len(differences) > 0 {
		err = &exitError{code: ExitDiffers, text: fmt.Sprintf("%d differences", len(differences))}
	}
	return err
}

type applyCommand struct {
	Wait bool `long:"wait" description:"wait until the last change is in force at all nodes"`
	waitOptions
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// run validates the whole file, then writes the paths that differ. Each write is
// conditional on the version that was compared, so that a concurrent change by
// another operator is not overwritten.
func (c *applyCommand) run(t *tool) error {
	file, err := t.readSettings(c.Args.File)
	if err != nil {
		return err
	}
	validation, err := t.validate(file)
	if err != nil {
		return err
	}
	if !validation.Valid {
		return &exitError{code: ExitInvalid, text: (&check.Error{Problems: validation.Problems}).Error()}
	}
	differences, err := t.compare(file)
	if err != nil {
		return err
	}
	var last int64
	for _, d := range differences {
		cond := condition{version: &d.Version}
		if d.Change == added {
			cond = condition{absent: true}
		}
		result, err := t.client.write(t.ctx, d.Path, d.New, cond)
		if err != nil {
			return errors.Wrap(err, d.Path)
		}
		last = result.Offset
		if err := t.printResult(d.Path, result); err != nil {
			return err
		}
	}
	if len(differences) == 0 || !c.Wait {
		return nil
	}
	return t.wait(last, c.timeout())
}

// withState returns the value of a failure domain or target with another state.
// All other fields are kept, including those that this version does not know.
func withState(value []byte, state schema.AdminState) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(value, &fields); err != nil {
		return nil, &exitError{code: program.ExitFailed, text: "the value in force is no JSON object"}
	}
	encoded, err := json.Marshal(state)
	if err != nil {
		return nil, errors.Wrap(err, "encode state")
	}
	fields["state"] = encoded
	return json.Marshal(fields)
}
