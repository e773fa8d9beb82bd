package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
)

func entry(path string, version int64, value string) settings.Entry {
	return settings.Entry{Path: path, Version: version, Value: []byte(value)}
}

var (
	hashX = strings.Repeat("1", 64)
	hashY = strings.Repeat("2", 64)
)

func account(hash string) string { return fmt.Sprintf(`{"token_sha256":%q}`, hash) }

// accountName returns the team and name of the account with a token's hash, or "".
func accountName(c *Catalog, hash string) string {
	found, ok := c.Account(hash)
	if !ok {
		return ""
	}
	return found.Team + "/" + found.Name
}

// small returns entries of a small system.
func small() []settings.Entry {
	return []settings.Entry{
		entry("/domains/a", 1, `{"state":"in"}`),
		entry("/teams/red", 2, `{}`),
		entry("/teams/red/models/m", 3, `{"versions":["1"]}`),
		entry("/teams/red/workloads/w", 4, `{"model":"m"}`),
		entry("/teams/red/accounts/x", 5, account(hashX)),
		entry("/targets/t2", 6, `{"agent":"127.0.0.1:2","failure_domain":"a","kind":"model","serves":["m"]}`),
		entry("/targets/t1", 7, `{"agent":"127.0.0.1:1","failure_domain":"a","kind":"model","serves":["m"],"team":"red"}`),
		entry("/teams/red/services/s", 8, `{"routes":[{"method":"GET","path_prefix":"/"}]}`),
		entry("/targets/s1", 9, `{"agent":"127.0.0.1:3","failure_domain":"a","kind":"service","serves":["s"],"team":"red"}`),
	}
}

func TestBuildIndexesAndFillsDefaults(t *testing.T) {
	c := Build(settings.NewSnapshot(9, small()))
	model := c.ModelTargets[TeamName{"red", "m"}]
	assert.Equal(t, len(model), 2)
	assert.Equal(t, model[0].Name, "t1")
	assert.Equal(t, model[0].MaxLimit, schema.DefaultMaxLimit)
	assert.Equal(t, len(c.ServiceTargets[TeamName{"red", "s"}]), 1)
	assert.Equal(t, c.Workloads[TeamName{"red", "w"}].Class, schema.Interactive)
	assert.Equal(t, c.Services[TeamName{"red", "s"}].Routes[0].Class, schema.Interactive)
	assert.Equal(t, accountName(c, hashX), "red/x")
	assert.Equal(t, len(c.Unreadable), 0)
}

func TestTargetOfATeamServesThatTeamOnly(t *testing.T) {
	target := `{"agent":"127.0.0.1:9","failure_domain":"a","serves":["m"]}`
	c := Build(settings.NewSnapshot(12, append(small(),
		entry("/teams/blue/targets/t1", 10, target),
		entry("/teams/red/targets/own", 11, target),
		entry("/teams/red/groups/g", 12, `{"ranks":["own"]}`),
	)))
	assert.Equal(t, c.Targets["own"].Team, "red")
	assert.Equal(t, c.Targets["own"].Path, "/teams/red/targets/own")
	assert.Equal(t, c.GroupPaths["g"], "/teams/red/groups/g")
	assert.Equal(t, len(c.ModelTargets[TeamName{"red", "m"}]), 3)
	// The name t1 is taken by an earlier path.
	assert.Equal(t, c.Targets["t1"].Path, "/targets/t1")
	assert.DeepEqual(t, c.Unreadable, []string{"/teams/blue/targets/t1"})
}

func TestRebuildReusesWhatHasNotChanged(t *testing.T) {
	first := Build(settings.NewSnapshot(9, small()))
	entries := small()
	entries[0] = entry("/domains/a", 10, `{"state":"out"}`)
	second := Rebuild(first, settings.NewSnapshot(10, entries))

	assert.Assert(t, first.Targets["t1"].Serving())
	assert.Assert(t, !second.Targets["t1"].Serving())
	assert.Assert(t, !second.ModelTargets[TeamName{"red", "m"}][0].Serving())
	assert.Equal(t, accountName(second, hashX), "red/x")
	assert.Assert(t, first.Workloads[TeamName{"red", "w"}] == second.Workloads[TeamName{"red", "w"}])

	third := Rebuild(second, settings.NewSnapshot(11, append(small()[1:4:4], small()[5:]...)))
	assert.Equal(t, accountName(third, hashX), "")
	assert.Equal(t, accountName(second, hashX), "red/x")
	assert.Assert(t, third.Targets["t1"].Serving())
}

func TestRebuildKeepsThePreviousValueOfAnUnreadablePath(t *testing.T) {
	first := Build(settings.NewSnapshot(9, small()))
	entries := small()
	entries[0] = entry("/domains/a", 10, `{"state":"draining"}`)
	entries[4] = entry("/teams/red/accounts/x", 11, `[]`)
	entries = append(entries, entry("/later/z", 12, `{}`))
	second := Rebuild(first, settings.NewSnapshot(12, entries))
	assert.DeepEqual(t, second.Unreadable, []string{"/domains/a", "/later/z", "/teams/red/accounts/x"})
	assert.Equal(t, second.Domains["a"].State, schema.In)
	assert.Equal(t, accountName(second, hashX), "red/x")
	entries = append(entries, entry("/teams/red", 13, `{"share":2}`))
	third := Rebuild(second, settings.NewSnapshot(13, entries))
	assert.Equal(t, accountName(third, hashX), "red/x")
	assert.Equal(t, len(third.Unreadable), 3)
}

// The part of the settings that an agent holds may grow by entries older than those
// it had, while it loses others.
func TestRebuildAddsEntriesOlderThanThePreviousSnapshot(t *testing.T) {
	all := small()
	first := Build(settings.NewSnapshot(9, all[:5]))
	second := Rebuild(first, settings.NewSnapshot(9, append(all[1:5:5], all[5])))
	assert.Assert(t, second.Targets["t2"] != nil)
	assert.Equal(t, len(second.Domains), 0)
}

func TestAccountIsFoundByItsNewTokenOnly(t *testing.T) {
	first := Build(settings.NewSnapshot(9, small()))
	entries := append(small(), entry("/teams/red/accounts/x", 10, account(hashY)))
	second := Rebuild(first, settings.NewSnapshot(10, entries))
	assert.Equal(t, accountName(second, hashX), "")
	assert.Equal(t, accountName(second, hashY), "red/x")
	assert.Equal(t, accountName(first, hashX), "red/x")
	assert.Equal(t, accountName(first, "x"), "")
}

func TestFirstOfTwoAccountsWithTheSameTokenOwnsIt(t *testing.T) {
	b := entry("/teams/b/accounts/x", 1, account(hashX))
	a := entry("/teams/a/accounts/y", 2, account(hashX))
	both := Rebuild(Build(settings.NewSnapshot(1, []settings.Entry{b})), settings.NewSnapshot(2, []settings.Entry{a, b}))
	assert.Equal(t, accountName(both, hashX), "a/y")
	assert.Equal(t, accountName(Build(settings.NewSnapshot(2, []settings.Entry{a, b})), hashX), "a/y")
	left := Rebuild(both, settings.NewSnapshot(3, []settings.Entry{b}))
	assert.Equal(t, accountName(left, hashX), "b/x")
}

// A sequence of calls of Rebuild must give the same catalog as one call of Build.
func TestRebuildEqualsBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := map[string]settings.Entry{}
		var current *Catalog
		for offset := range int64(rapid.IntRange(1, 30).Draw(t, "steps")) {
			path := rapid.SampledFrom([]string{
				"/teams/a/accounts/1", "/teams/a/accounts/2", "/teams/b/accounts/1", "/domains/d", "/targets/t",
			}).Draw(t, "path")
			value := rapid.SampledFrom([]string{"", account(hashX), account(hashY), `{"state":"out","failure_domain":"d"}`}).Draw(t, "value")
			delete(values, path)
			if value != "" {
				values[path] = entry(path, offset, value)
			}
			snapshot := settings.NewSnapshot(offset, slices.Collect(maps.Values(values)))
			current = Rebuild(current, snapshot)
			if len(current.Unreadable) > 0 {
				return // the values kept for unreadable paths depend on the sequence
			}
			whole := Build(snapshot)
			for _, hash := range []string{hashX, hashY} {
				if accountName(current, hash) != accountName(whole, hash) {
					t.Fatalf("token belongs to %q, want %q", accountName(current, hash), accountName(whole, hash))
				}
			}
			if !reflect.DeepEqual(current.Targets, whole.Targets) || !reflect.DeepEqual(current.Domains, whole.Domains) {
				t.Fatalf("targets %v, want %v", current.Targets, whole.Targets)
			}
		}
	})
}

// large returns entries for 45,000 accounts and 3,700 targets.
func large() []settings.Entry {
	entries := small()
	for i := range 45_000 {
		hash := sha256.Sum256(fmt.Append(nil, i))
		entries = append(entries, entry(fmt.Sprintf("/teams/red/accounts/account-%d", i), int64(i+100),
			fmt.Sprintf(`{"token_sha256":"%s","limits":{"requests_per_second":5}}`, hex.EncodeToString(hash[:]))))
	}
	for i := range 3_700 {
		entries = append(entries, entry(fmt.Sprintf("/targets/target-%d", i), int64(i+50_000),
			fmt.Sprintf(`{"agent":"127.0.0.1:%d","failure_domain":"a","kind":"model","serves":["m"]}`, 1024+i)))
	}
	return entries
}

func BenchmarkBuild(b *testing.B) {
	snapshot := settings.NewSnapshot(60_000, large())
	b.ReportAllocs()
	for b.Loop() {
		Build(snapshot)
	}
}

func BenchmarkRebuild(b *testing.B) {
	entries := large()
	catalog := Build(settings.NewSnapshot(60_000, entries))
	changes := map[string]settings.Entry{
		"account": entry("/teams/red/accounts/account-7", 60_001, account(hashY)),
		"target":  entry("/targets/target-7", 60_001, `{"agent":"127.0.0.1:9","failure_domain":"a","serves":["m"]}`),
	}
	for name, change := range changes {
		b.Run(name, func(b *testing.B) {
			snapshot := settings.NewSnapshot(60_001, append(entries[:len(entries):len(entries)], change))
			b.ReportAllocs()
			for b.Loop() {
				Rebuild(catalog, snapshot)
			}
		})
	}
}

func BenchmarkAccount(b *testing.B) {
	c := Build(settings.NewSnapshot(60_000, large()))
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := c.Account(hashX); !ok {
			b.Fatal("no such account")
		}
	}
}
