package docs

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/adapter/callerhttp"
	"quetzalbend/internal/adapter/keys"
	"quetzalbend/internal/app/agent"
	"quetzalbend/internal/app/ctl"
	"quetzalbend/internal/app/entry"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/settingssync"
)

// section of OPERATIONS.md that describes the fields of a type.
type section struct {
	heading string
	value   any
}

var sections = []section{
	{"### `/domains/{domain}`: Domain", schema.Domain{}},
	{"### `/operators/{operator}`: Operator", schema.Operator{}},
	{"### `/targets/{target}`: Target", schema.Target{}},
	{"### `/groups/{group}`: Group", schema.Group{}},
	{"### `/teams/{team}`: Team", schema.Team{}},
	{"### Limits", schema.Limits{}},
	{"### Credits", schema.Credits{}},
	{"### `/teams/{team}/accounts/{account}`: Account", schema.Account{}},
	{"### `/teams/{team}/models/{model}`: Model", schema.Model{}},
	{"### `/teams/{team}/workloads/{workload}`: Workload", schema.Workload{}},
	{"### `/teams/{team}/services/{service}`: Service", schema.Service{}},
	{"### Route", schema.Route{}},
	{"### `quetzalbend-entry`", entry.Config{}},
	{"### `quetzalbend-agent`", agent.Config{}},
	{"### Rank", agent.Rank{}},
	{"### Peer", settingssync.Peer{}},
	{"### Bounds", entry.Bounds{}},
	{"### Routing", entry.Routing{}},
	{"### Key files", keys.Files{}},
	{"### `quetzalbendctl`", ctl.Config{}},
}

func read(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	assert.NilError(t, err)
	return string(data)
}

// rows returns the names in the first column of a section's tables.
func rows(t *testing.T, page, heading string) map[string]bool {
	t.Helper()
	_, rest, found := strings.Cut(page, heading+"\n")
	assert.Assert(t, found, "OPERATIONS.md has no section %s", heading)
	text, _, _ := strings.Cut(rest, "\n#")
	names := make(map[string]bool)
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z0-9_]+)` \\|").FindAllStringSubmatch(text, -1) {
		names[match[1]] = true
	}
	return names
}

func TestOperationsDescribesEachSettingAndNoOther(t *testing.T) {
	page := read(t, "OPERATIONS.md")
	for _, section := range sections {
		described := rows(t, page, section.heading)
		typ := reflect.TypeOf(section.value)
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			assert.Check(t, described[name], "%s: no row for %s", section.heading, name)
			delete(described, name)
		}
		assert.Check(t, len(described) == 0, "%s: rows for fields that do not exist: %v", section.heading, described)
	}
}

// inSource returns what a pattern with one group finds in the code.
func inSource(t *testing.T, pattern string, dirs ...string) []string {
	t.Helper()
	var found []string
	expression := regexp.MustCompile(pattern)
	for _, dir := range dirs {
		files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
		assert.NilError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			for _, match := range expression.FindAllStringSubmatch(read(t, file), -1) {
				found = append(found, match[1])
			}
		}
	}
	assert.Assert(t, len(found) > 0, "nothing found for %s", pattern)
	return found
}

func TestOperationsDescribesEachMetric(t *testing.T) {
	page := read(t, "OPERATIONS.md")
	dirs := []string{"internal/app/entry", "internal/metrics", "internal/settingssync"}
	for _, name := range inSource(t, `(?:Counter|Gauge|GaugeFloat64)\("([a-z_.]+[a-z])"`, dirs...) {
		name = strings.ReplaceAll(name, ".", "_")
		known := strings.Contains(page, "`quetzalbend_"+name+"`") || strings.Contains(page, "`quetzalbend_"+name+"_total`")
		assert.Check(t, known, "no metric %s", name)
	}
	for _, name := range inSource(t, `"([a-z_]+_seconds)"`, "internal/metrics") {
		assert.Check(t, strings.Contains(page, "`quetzalbend_"+name+"`"), "no metric %s", name)
	}
}

func TestAPIDescribesEachCodeAndResource(t *testing.T) {
	page := read(t, "API.md")
	dirs := []string{"internal/adapter/adminhttp", "internal/adapter/callerhttp", "internal/dispatch", "internal/core/limits"}
	for _, code := range inSource(t, `Code[A-Za-z]+ +(?:Code )?= "([a-z_]+)"`, dirs...) {
		if code == callerhttp.CodeOK {
			continue // a whole answer, no failure
		}
		assert.Check(t, strings.Contains(page, "`"+code+"`"), "no code %s", code)
	}
	for _, reason := range inSource(t, `reason[A-Za-z]+ += "([a-z_]+)"`, "internal/app/agent") {
		assert.Check(t, strings.Contains(page, "`"+reason+"`"), "no reason %s", reason)
	}
	for _, resource := range inSource(t, `handle\("GET", "([a-z-]+)`, "internal/adapter/adminhttp") {
		assert.Check(t, strings.Contains(page, "`GET "+resource), "no resource %s", resource)
	}
}
