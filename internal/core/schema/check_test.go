package schema_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
)

var (
	hashA = strings.Repeat("a", 64)
	hashB = strings.Repeat("b", 64)
)

// currentSettings holds settings with at least one path of each kind.
var currentSettings = map[string]string{
	"/domains/a":               `{"state":"in"}`,
	"/teams/red":               `{}`,
	"/teams/red/models/m":      `{"versions":["1"]}`,
	"/teams/red/workloads/w":   `{"model":"m"}`,
	"/teams/red/accounts/x":    fmt.Sprintf(`{"token_sha256":%q}`, strings.Repeat("1", 64)),
	"/targets/t2":              `{"agent":"127.0.0.1:2","failure_domain":"a","kind":"model","serves":["m"]}`,
	"/targets/t1":              `{"agent":"127.0.0.1:1","failure_domain":"a","kind":"model","serves":["m"],"team":"red"}`,
	"/teams/red/services/s":    `{"routes":[{"method":"GET","path_prefix":"/"}]}`,
	"/targets/s1":              `{"agent":"127.0.0.1:3","failure_domain":"a","kind":"service","serves":["s"],"team":"red"}`,
	"/groups/g":                `{"ranks":["t1"],"layers":1,"experts":1,"slots_per_rank":1}`,
	"/operators/root":          fmt.Sprintf(`{"token_sha256":%q,"subtree":"/teams/red"}`, hashA),
	"/teams/small":             `{"limits":{"concurrent":4}}`,
	"/teams/red/models/idle":   `{"versions":["1"],"adapters":["x"]}`,
	"/teams/red/services/idle": `{"routes":[{"method":"GET","path_prefix":"/","idempotent":true}]}`,
}

// checkView returns a view of currentSettings.
func checkView() schema.View {
	var entries []settings.Entry
	for path, value := range currentSettings {
		entries = append(entries, settings.Entry{Path: path, Value: []byte(value)})
	}
	return catalog.Build(settings.NewSnapshot(0, entries)).View()
}

func TestCheckAcceptsGoodValues(t *testing.T) {
	good := map[string]string{
		"/domains/b":              `{"state":"out","region":"mu-north"}`,
		"/operators/team":         fmt.Sprintf(`{"token_sha256":%q,"subtree":"/teams/red"}`, hashB),
		"/operators/root":         fmt.Sprintf(`{"token_sha256":%q,"subtree":"/"}`, hashA),
		"/targets/t1":             `{"agent":"127.0.0.1:1","failure_domain":"a","kind":"model","serves":["m"],"team":"red"}`,
		"/groups/h":               `{"ranks":["t1","t2"],"layers":2,"experts":4,"slots_per_rank":2}`,
		"/teams/blue":             `{"share":2,"credits":{"tokens":5,"as_of":"2026-12-01T00:00:00Z","expires":"2027-01-01T00:00:00Z"}}`,
		"/teams/red/accounts/y":   fmt.Sprintf(`{"token_sha256":%q,"class":"batch"}`, hashB),
		"/teams/red/models/n":     `{"versions":["1","2"],"adapters":["a"]}`,
		"/teams/red/workloads/v":  `{"model":"m","version":"1","class":"certificate","group":"g"}`,
		"/teams/red/services/s":   `{"routes":[{"method":"POST","path_prefix":"/entries"},{"method":"POST","path_prefix":"/entries-of-old"},{"method":"GET","path_prefix":"/","idempotent":true}]}`,
		"/teams/red/services/s/":  "",
		"/teams/red/workloads/v2": `{"model":"m","timeout_ms":0}`,
		"/teams/red/targets/own":  `{"agent":"127.0.0.1:9","failure_domain":"a","serves":["m"]}`,
		"/teams/red/groups/own":   `{"ranks":["t1"],"layers":1,"experts":1,"slots_per_rank":1}`,
	}
	for path, value := range good {
		problems := schema.Check(path, []byte(value), checkView())
		assert.Equal(t, len(problems) == 0, value != "", "%s: %v", path, problems)
	}
}

func TestCheckNamesWhatIsWrong(t *testing.T) {
	const target = `"agent":"127.0.0.1:9","failure_domain":"a","serves":["m"]`
	const get = `{"method":"GET","path_prefix":"/a","idempotent":true}`
	cases := []struct{ path, value, want string }{
		{"/nothing/x", `{}`, "want /domains/NAME"},
		{"/domains/A", `{}`, "want /domains/NAME"},
		{"/domains/a/b", `{}`, "want /domains/NAME"},
		{"/domains/a", ``, "document is empty"},
		{"/domains/a", `{"state":"draining"}`, `field state: value "draining": want "in" or "out"`},
		{"/domains/a", `{"region":"MU"}`, "field region"},
		{"/domains/a", `{"x":` + strings.Repeat("[", 5000), "nested deeper"},
		{"/domains/a", `{"x":"` + strings.Repeat("y", schema.MaxValueBytes) + `"}`, "at most 65536 bytes"},
		{"/operators/o", `{"token_sha256":"secret","subtree":"/"}`, "64 lower-case hex"},
		{"/operators/o", fmt.Sprintf(`{"token_sha256":%q,"subtree":"/"}`, hashA), "/operators/root has this one"},
		{"/operators/o", fmt.Sprintf(`{"token_sha256":%q,"subtree":"/domains/a"}`, hashB), "field subtree"},
		{"/operators/o", fmt.Sprintf(`{"token_sha256":%q,"subtree":"/teams/none"}`, hashB), "there is no /teams/none"},
		{"/targets/t", `{"agent":"localhost:9","failure_domain":"a","serves":["m"]}`, "field agent"},
		{"/targets/t", `{"agent":"127.0.0.1:1","failure_domain":"a","serves":["m"]}`, "/targets/t1 has this one"},
		{"/targets/t", `{"agent":"127.0.0.1:9","serves":["m"]}`, "field failure_domain"},
		{"/targets/t", `{"agent":"127.0.0.1:9","failure_domain":"z","serves":["m"]}`, "there is no /domains/z"},
		{"/targets/t", `{"agent":"127.0.0.1:9","failure_domain":"a"}`, "field serves"},
		{"/targets/t", `{"agent":"127.0.0.1:9","failure_domain":"a","serves":["m","m"]}`, "each name once"},
		{"/targets/t", `{"agent":"127.0.0.1:9","failure_domain":"a","serves":["q"]}`, "a model that some team declares"},
		{"/targets/t", `{"kind":"service",` + target + `}`, "a service that some team declares"},
		{"/targets/t", `{"kind":"disk",` + target + `}`, "field kind"},
		{"/targets/t", `{"team":"none",` + target + `}`, "there is no /teams/none"},
		{"/targets/t", `{"cold_limit":9,"max_limit":8,` + target + `}`, "at most max_limit, which is 8"},
		{"/targets/t", `{"max_limit":1,` + target + `}`, "at most max_limit, which is 1"},
		{"/targets/t", `{"max_limit":20000,` + target + `}`, "1 to 10000 concurrent requests"},
		{"/targets/t", `{"queue":-1,` + target + `}`, "field queue: value -1"},
		{"/teams/red/targets/t1", `{` + target + `}`, "/targets/t1 has this one"},
		{"/teams/red/targets/t", `{"team":"small",` + target + `}`, `"red" or nothing`},
		{"/teams/small/targets/t", `{` + target + `}`, "a model that team small declares"},
		{"/teams/none/targets/t", `{` + target + `}`, "there is no /teams/none"},
		{"/teams/small/groups/own", `{"ranks":["t1"],"layers":1,"experts":1,"slots_per_rank":1}`, "a target of team small"},
		{"/teams/red/groups/g", `{"ranks":["t1"],"layers":1,"experts":1,"slots_per_rank":1}`, "/groups/g has this one"},
		{"/groups/g", `{"ranks":[],"layers":1,"experts":1,"slots_per_rank":1}`, "1 to 1024 targets"},
		{"/groups/g", `{"ranks":["t1","t1"],"layers":1,"experts":1,"slots_per_rank":1}`, "each name once"},
		{"/groups/g", `{"ranks":["zz"],"layers":1,"experts":1,"slots_per_rank":1}`, "want a target that exists"},
		{"/groups/g", `{"ranks":["s1"],"layers":1,"experts":1,"slots_per_rank":1}`, "of kind model"},
		{"/groups/g", `{"ranks":["t1"],"layers":0,"experts":1,"slots_per_rank":1}`, "field layers"},
		{"/groups/g", `{"ranks":["t1"],"layers":1,"experts":3,"slots_per_rank":2}`, "a slot for each of 3 experts"},
		{"/teams/t", `{"share":-1}`, "field share"},
		{"/teams/t", `{"limits":{"requests_per_second":-1}}`, "field limits.requests_per_second"},
		{"/teams/t", `{"credits":{"tokens":1,"expires":"tomorrow"}}`, "field credits.expires"},
		{"/teams/t", `{"credits":{"tokens":1,"expires":"2027-01-01T00:00:00Z"}}`, "field credits.as_of"},
		{"/teams/t", `{"credits":{"tokens":1,"as_of":"2027-01-01T00:00:00Z","expires":"2027-01-01T00:00:00Z"}}`, "a time after as_of"},
		{"/teams/none/accounts/x", fmt.Sprintf(`{"token_sha256":%q}`, hashB), "there is no /teams/none"},
		{"/teams/small/accounts/x", fmt.Sprintf(`{"token_sha256":%q,"limits":{"concurrent":9}}`, hashB), "warning: want at most 4"},
		{"/teams/red/accounts/y", currentSettings["/teams/red/accounts/x"], "/teams/red/accounts/x has this one"},
		{"/teams/red/accounts/x", fmt.Sprintf(`{"token_sha256":%q,"class":"vip"}`, hashB), "field class"},
		{"/teams/red/models/m", `{"versions":[]}`, "1 to 1024 versions"},
		{"/teams/red/workloads/w", `{}`, "field model"},
		{"/teams/red/workloads/w", `{"model":"q"}`, "there is no /teams/red/models/q"},
		{"/teams/red/workloads/w", `{"model":"m","version":"9"}`, "a version of model m: 1"},
		{"/teams/red/workloads/w", `{"model":"m","adapter":"z"}`, "it has none"},
		{"/teams/red/workloads/w", `{"model":"m","group":"z"}`, "want a group that exists"},
		{"/teams/red/workloads/w", `{"model":"idle"}`, "warning: want a model that some target serves"},
		{"/teams/red/workloads/w", `{"model":"m","timeout_ms":50}`, "100 to 600000 milliseconds"},
		{"/teams/red/workloads/w", `{"model":"m","timeout":"5s"}`, "want field timeout_ms"},
		{"/teams/red/services/s", `{"routes":[]}`, "1 to 256 routes"},
		{"/teams/red/services/s", `{"routes":[{"method":"get","path_prefix":"/a"}]}`, "field routes[0].method"},
		{"/teams/red/services/s", `{"routes":[{"method":"POST","path_prefix":"a"}]}`, "field routes[0].path_prefix"},
		{"/teams/red/services/s", `{"routes":[` + get + `,{"method":"GET","path_prefix":"/a/b","idempotent":true}]}`, "routes[0].path_prefix matches first"},
		{"/teams/red/services/s", `{"routes":[{"method":"GET","path_prefix":"/a"}]}`, "warning: want true for GET"},
		{"/teams/red/services/s", `{"key_window_ms":1,"routes":[` + get + `]}`, "60000 to 86400000 milliseconds"},
		{"/teams/red/services/s", `{"key_window_ms":60000,"timeout_ms":600000,"routes":[` + get + `]}`, "at least timeout_ms"},
		{"/teams/red/services/idle", `{"routes":[` + get + `]}`, "warning: want some target that serves it"},
	}
	for _, c := range cases {
		t.Run(c.path+c.want, func(t *testing.T) {
			var lines []string
			for _, problem := range schema.Check(c.path, []byte(c.value), checkView()) {
				assert.Equal(t, problem.Path, c.path)
				lines = append(lines, problem.String())
			}
			assert.Assert(t, cmp.Contains(strings.Join(lines, "\n"), c.want))
		})
	}
}

func TestCheckDeleteNamesTheDependents(t *testing.T) {
	used := map[string]string{
		"/domains/a":            "/targets/t1",
		"/targets/t1":           "/groups/g",
		"/teams/red":            "/operators/root",
		"/teams/red/models/m":   "/teams/red/workloads/w",
		"/teams/red/services/s": "/targets/s1",
	}
	for path, dependent := range used {
		problems := schema.CheckDelete(path, checkView())
		assert.Assert(t, cmp.Len(problems, 1), path)
		assert.Assert(t, cmp.Contains(problems[0].String(), dependent))
	}
	for _, path := range []string{"/targets/t2", "/groups/g", "/teams/small", "/teams/red/workloads/w"} {
		assert.Equal(t, len(schema.CheckDelete(path, checkView())), 0, path)
	}
}

func TestOperatorMayWriteOnlyBelowItsSubtree(t *testing.T) {
	assert.Assert(t, schema.MayWrite("/", "/domains/a"))
	assert.Assert(t, schema.MayWrite("/teams/red", "/teams/red/models/m"))
	assert.Assert(t, !schema.MayWrite("/teams/red", "/teams/red"))
	assert.Assert(t, !schema.MayWrite("/teams/red", "/teams/red2/models/m"))
	assert.Assert(t, !schema.MayWrite("/teams/red", "/domains/a"))
	assert.Assert(t, !schema.MayWrite("", "/domains/a"))
}
