package startup

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/check"
)

// Bounds of a start-up file.
const (
	MaxBytes = 1 << 20 // 1 MiB
	MaxDepth = 32
)

// Problem is an error or warning about a start-up file.
type Problem = check.Problem

// Load reads the start-up file at path into a T. If checkValue is not nil, Load
// then calls it to fill in defaults and to return problems. The error is a
// *check.Error if the file could be read but its content was rejected.
func Load[T any](path string, checkValue func(*T) []Problem) (T, error) {
	var none T
	data, err := readBounded(path)
	if err != nil {
		return none, errors.Wrap(err, "read start-up file")
	}
	value, problems := check.Decode[T](path, data, check.Bounds{Bytes: MaxBytes, Depth: MaxDepth})
	if len(problems) == 0 && checkValue != nil {
		problems = withPath(path, checkValue(&value))
	}
	if check.Failed(problems) {
		return none, &check.Error{Problems: problems}
	}
	return value, nil
}

// readBounded reads a file up to one byte more than MaxBytes.
func readBounded(path string) (data []byte, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	return io.ReadAll(io.LimitReader(file, MaxBytes+1))
}

// withPath sets the path in problems that name none.
func withPath(path string, problems []Problem) []Problem {
	for i := range problems {
		if problems[i].Path == "" {
			problems[i].Path = path
		}
	}
	return problems
}
