package startup

import (
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/check"
)

type inner struct {
	TimeoutMS int64 `json:"timeout_ms"`
}

type sample struct {
	Listen string  `json:"listen"`
	Inner  inner   `json:"inner"`
	Peers  []inner `json:"peers"`
}

func load(t *testing.T, content string) (sample, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return Load(path, func(s *sample) []Problem {
		report := check.NewReport("")
		report.Range("inner.timeout_ms", s.Inner.TimeoutMS, 1, 1000, "milliseconds")
		return report.Problems()
	})
}

func TestLoadReadsWholeFile(t *testing.T) {
	value, err := load(t, `{"listen":"127.0.0.1:1","inner":{"timeout_ms":5}}`)
	assert.NilError(t, err)
	assert.Equal(t, value.Inner.TimeoutMS, int64(5))
}

func TestLoadSaysWhatIsWrong(t *testing.T) {
	const good = `"inner":{"timeout_ms":5}`
	cases := map[string]struct{ content, want string }{
		"empty":         {"", "the document is empty"},
		"cut":           {`{"listen":"a`, "cut off"},
		"cut object":    {`{"inner":{"timeout_ms":5}`, "cut off"},
		"trailing":      {`{` + good + `} {}`, "after the end"},
		"not UTF-8":     {"{\"listen\":\"\xff\"}", "UTF-8"},
		"unknown field": {`{"inner":{"timout":5}}`, "field inner.timout: value 5: want one of the fields timeout_ms"},
		"wrong unit":    {`{"inner":{"timeout_s":5}}`, "want field timeout_ms, an integer that fits int64 (milliseconds)"},
		"unit in value": {`{"inner":{"timeout_ms":"5s"}}`, `field inner.timeout_ms: value "5s": want an integer that fits int64 (milliseconds)`},
		"wrong case":    {`{"Listen":"a"}`, "want field listen, a string"},
		"in array":      {`{"peers":[{},{"x":1}]}`, "field peers[1].x"},
		"repeated":      {`{` + good + `,` + good + `}`, "field inner: want each field once"},
		"null":          {`{"listen":null}`, "field listen: value null: want a string"},
		"out of range":  {`{"inner":{"timeout_ms":2000}}`, "field inner.timeout_ms: value 2000: want 1 to 1000 milliseconds"},
		"fraction":      {`{"inner":{"timeout_ms":1.5}}`, "value 1.5"},
		"array":         {`[]`, "want an object"},
		"deep":          {`{"peers":` + strings.Repeat("[", 1000) + strings.Repeat("]", 1000) + `}`, "nested deeper than 32"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := load(t, c.content)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestLoadLimitsMemoryForHugeFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "huge.json")
	file, err := os.Create(path)
	assert.NilError(t, err)
	assert.NilError(t, file.Truncate(100<<20))
	assert.NilError(t, file.Close())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = Load[sample](path, nil)
	runtime.ReadMemStats(&after)
	assert.ErrorContains(t, err, "at most 1048576 bytes")
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < 8*MaxBytes, "%d bytes", allocated)
}
