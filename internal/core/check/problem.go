package check

import (
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"
)

// maxShownBytes bounds what a problem shows of a wrong value or a field's name.
const maxShownBytes = 80

// Problem is one thing that is wrong with a value.
type Problem struct {
	Path    string `json:"path"`              // settings path or file name
	Field   string `json:"field,omitempty"`   // dotted path of the field; empty for the whole value
	Value   string `json:"value,omitempty"`   // the value as JSON, shortened
	Want    string `json:"want"`              // what would be right
	Warning bool   `json:"warning,omitempty"` // the value is accepted, but probably unintended
}

// String returns the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.Path)
	if p.Field != "" {
		fmt.Fprintf(&b, ": field %s", p.Field)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, ": value %s", p.Value)
	}
	if p.Warning {
		b.WriteString(": warning")
	}
	fmt.Fprintf(&b, ": want %s", p.Want)
	return b.String()
}

// Failed reports whether any problem is more than a warning.
func Failed(problems []Problem) bool {
	for _, problem := range problems {
		if !problem.Warning {
			return true
		}
	}
	return false
}

// Error is an error that lists problems.
type Error struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Report collects the problems of one value.
type Report struct {
	path     string
	problems []Problem
}

// NewReport returns an empty report on the value at path.
func NewReport(path string) *Report { return &Report{path: path} }

// Problems returns the problems recorded so far.
func (r *Report) Problems() []Problem { return r.problems }

// Add records that the value of field is wrong.
func (r *Report) Add(field string, value any, want string) {
	r.problems = append(r.problems, Problem{Path: r.path, Field: field, Value: Show(value), Want: want})
}

// Addf is like Add, but formats what is wanted.
func (r *Report) Addf(field string, value any, format string, args ...any) {
	r.Add(field, value, fmt.Sprintf(format, args...))
}

// Warnf records that the value of field is accepted, but probably unintended.
func (r *Report) Warnf(field string, value any, format string, args ...any) {
	r.Addf(field, value, format, args...)
	r.problems[len(r.problems)-1].Warning = true
}

// Range records a problem if value is below low or above high. Unit may be empty.
func (r *Report) Range(field string, value, low, high int64, unit string) {
	if value >= low && value <= high {
		return
	}
	r.Addf(field, value, "%s", strings.TrimSpace(fmt.Sprintf("%d to %d %s", low, high, unit)))
}

// Show returns value as JSON, shortened, for use in a problem.
func Show(value any) string {
	if value == nil {
		return ""
	}
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprintf("%T", value)
	}
	return shorten(string(data))
}

// shorten cuts longer text to at most maxShownBytes bytes, between two runes,
// and appends an ellipsis.
func shorten(text string) string {
	if len(text) <= maxShownBytes {
		return text
	}
	cut := maxShownBytes
	for cut > 0 && !utf8.RuneStart(text[cut]) {
		cut--
	}
	return text[:cut] + "…"
}
