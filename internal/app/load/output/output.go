// Package output prints the results of experiments, as JSON or as a table.
package output

import (
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"
)

// Print prints result to standard output: as indented JSON, or as the table that
// printTable writes.
func Print(asJSON bool, result any, printTable func(io.Writer) error) error {
	if asJSON {
		return JSON(os.Stdout, result)
	}
	return printTable(os.Stdout)
}

// JSON writes result as indented JSON.
func JSON(w io.Writer, result any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(result), "print result")
}
