package startup

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/check"
)

// FuzzLoad looks for files that Load rejects without naming a problem in them.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"listen":"127.0.0.1:1","inner":{"timeout_ms":5},"peers":[{"timeout_ms":1}]}`))
	f.Add([]byte(`{"listen":1e400,"inner":{"timeout_ms":9223372036854775808}}`))
	f.Add([]byte(`{"inner":{"timeout_ms":1e2}}`))
	f.Add([]byte(`{"peers":[null,{}]}`))
	f.Add([]byte("\xef\xbb\xbf{}"))
	f.Add([]byte(`{"a":{"a":{"a":[[[[`))
	f.Add([]byte(`{} {}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		path := filepath.Join(t.TempDir(), "config.json")
		assert.NilError(t, os.WriteFile(path, content, 0o600))
		_, err := Load[sample](path, nil)
		if err == nil {
			return
		}
		var problem *check.Error
		if !errors.As(err, &problem) || len(problem.Problems) == 0 || problem.Problems[0].Want == "" {
			t.Fatalf("error without a problem: %v", err)
		}
	})
}
