package check

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Bounds limits the document that Decode reads.
type Bounds struct {
	Bytes int // highest size of the document
	Depth int // highest number of levels of nested objects and arrays
}

// Decode reads one JSON document into a T. It refuses documents that are too
// large, too deeply nested, not UTF-8, incomplete or followed by other data, and
// documents that contain unknown or repeated fields or values of the wrong type.
// The problems name the document by path.
func Decode[T any](path string, data []byte, bounds Bounds) (T, []Problem) {
	var value T
	report := NewReport(path)
	tree, ok := parse(data, bounds, report)
	if !ok {
		return value, report.Problems()
	}
	matchType(report, "", tree, reflect.TypeFor[T]())
	if len(report.problems) > 0 {
		return value, report.Problems()
	}
	if err := json.Unmarshal(data, &value); err != nil {
		report.Add("", nil, errors.Wrap(err, "a value of the right types").Error())
	}
	return value, report.Problems()
}

// parse reads the document into a tree of map[string]any, []any and scalars. It
// returns false if the document is too large or not valid JSON.
func parse(data []byte, bounds Bounds, report *Report) (any, bool) {
	switch {
	case len(data) > bounds.Bytes:
		report.Addf("", nil, "at most %d bytes", bounds.Bytes)
		return nil, false
	case len(bytes.TrimSpace(data)) == 0:
		report.Add("", nil, "a JSON object; the document is empty")
		return nil, false
	case !utf8.Valid(data):
		report.Add("", nil, "UTF-8 text")
		return nil, false
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	reader := treeReader{decoder: decoder, maxDepth: bounds.Depth, report: report}
	tree, err := reader.value("", 0)
	if err == nil {
		err = reader.expectEnd()
	}
	if err != nil {
		report.Add("", nil, describeSyntax(err, decoder.InputOffset()))
		return nil, false
	}
	return tree, true
}

// describeSyntax returns the text of Problem.Want for a document that is not valid
// JSON.
func describeSyntax(err error, offset int64) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Sprintf("whole JSON; the document is cut off at byte %d", offset)
	}
	return fmt.Sprintf("valid JSON; at byte %d: %v", offset, err)
}

// treeReader builds a tree from a decoder's tokens. It refuses a document that is
// nested too deeply, and reports repeated fields.
type treeReader struct {
	decoder  *json.Decoder
	maxDepth int
	report   *Report
}

// value reads one value, which is inside depth objects and arrays. Field is its
// dotted path.
func (r *treeReader) value(field string, depth int) (any, error) {
	token, err := r.decoder.Token()
	if err != nil {
		return nil, err
	}
	delimiter, ok := token.(json.Delim)
	if !ok {
		return token, nil
	}
	if depth == r.maxDepth {
		return nil, errors.Errorf("nested deeper than %d levels", r.maxDepth)
	}
	if delimiter == '{' {
		return r.object(field, depth+1)
	}
	return r.array(field, depth+1)
}

// object reads the rest of an object after its opening brace.
func (r *treeReader) object(field string, depth int) (any, error) {
	object := make(map[string]any)
	for r.decoder.More() {
		token, err := r.decoder.Token()
		if err != nil {
			return nil, err
		}
		name, ok := token.(string)
		if !ok {
			return nil, errors.Errorf("field name %v is not a string", token)
		}
		inner := joinField(field, name)
		if _, repeated := object[name]; repeated {
			r.report.Add(inner, nil, "each field once")
		}
		value, err := r.value(inner, depth)
		if err != nil {
			return nil, err
		}
		object[name] = value
	}
	_, err := r.decoder.Token()
	return object, err
}

// array reads the rest of an array after its opening bracket.
func (r *treeReader) array(field string, depth int) (any, error) {
	var array []any
	for r.decoder.More() {
		value, err := r.value(indexField(field, len(array)), depth)
		if err != nil {
			return nil, err
		}
		array = append(array, value)
	}
	_, err := r.decoder.Token()
	return array, err
}

// expectEnd fails if there is anything after the document.
func (r *treeReader) expectEnd() error {
	_, err := r.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		err = errors.New("data after the end of the document")
	}
	return err
}

// joinField returns the dotted path of a field of an object.
func joinField(field, name string) string {
	name = shorten(name)
	if field == "" {
		return name
	}
	return field + "." + name
}

// indexField returns the dotted path of an element of an array.
func indexField(field string, i int) string { return fmt.Sprintf("%s[%d]", field, i) }
