package program

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/check"
)

type config struct {
	Size int64 `json:"size"`
}

func checkSize(c *config) []check.Problem {
	report := check.NewReport("")
	report.Range("size", c.Size, 1, 10, "")
	return report.Problems()
}

func TestMainExitCodes(t *testing.T) {
	folder := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(folder, name)
		assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
		return path
	}
	good := write("good.json", `{"size":3}`)
	bad := write("bad.json", `{"size":30}`)
	cases := map[string]struct {
		args []string
		want ExitCode
		runs bool
	}{
		"runs":          {[]string{"--config", good}, ExitFailed, true},
		"checks":        {[]string{"--config", good, "--check-config"}, ExitOK, false},
		"refused file":  {[]string{"--config", bad}, ExitConfig, false},
		"no such file":  {[]string{"--config", good + "x"}, ExitConfig, false},
		"no file":       {nil, ExitUsage, false},
		"unknown flag":  {[]string{"--colour"}, ExitUsage, false},
		"stray word":    {[]string{"now"}, ExitUsage, false},
		"help":          {[]string{"--help"}, ExitOK, false},
		"version":       {[]string{"--version"}, ExitOK, false},
		"version first": {[]string{"--version", "--config", bad}, ExitOK, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ran := false
			code := Main("test", c.args, checkSize, func(_ context.Context, got config) error {
				ran = true
				assert.Equal(t, got.Size, int64(3))
				return os.ErrDeadlineExceeded
			})
			assert.Equal(t, code, c.want)
			assert.Equal(t, ran, c.runs)
		})
	}
}
