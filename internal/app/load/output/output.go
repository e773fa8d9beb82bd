// Package output prints the results of experiments, as JSON or as a table.
package output

import (
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"
)

// Print prints result to standard output: indented JSON, or what table writes.
func Print(asJSON bool, result any, table func(io.Writer) error) error {
	if asJSON {
		return JSON(os.Stdout, result)
	}
	return table(os.Stdout)
}

// JSON writes result as indented JSON.
func JSON(w io.Writer, result any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(result), "print result")
}
