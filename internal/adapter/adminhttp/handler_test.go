package adminhttp

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/settingssync"
)

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// fakeSettings implements Settings without a log: each accepted write gets the next
// offset.
type fakeSettings struct {
	offset  int64
	entries map[string]settings.Entry
	answer  *settingssync.WriteOutcome // if set, Put returns it and writes nothing
	last    settingssync.WriteRequest
}

func (s *fakeSettings) Snapshot() *settings.Snapshot {
	if s.entries == nil {
		return nil
	}
	var entries []settings.Entry
	for _, entry := range s.entries {
		entries = append(entries, entry)
	}
	return settings.NewSnapshot(s.offset, entries)
}

func (s *fakeSettings) Put(_ context.Context, w settingssync.WriteRequest) (settingssync.WriteOutcome, error) {
	s.last = w
	if s.answer != nil {
		return *s.answer, nil
	}
	entry, exists := s.entries[w.Path]
	if (w.IfVersion != nil && entry.Version != *w.IfVersion) || (w.IfAbsent && exists) {
		return settingssync.WriteOutcome{Status: settingssync.Rejected, Operation: "op", Offset: settings.NoOffset}, nil
	}
	s.offset++
	delete(s.entries, w.Path)
	if !w.Delete {
		s.entries[w.Path] = settings.Entry{Path: w.Path, Version: s.offset, Value: w.Value, Author: w.Author}
	}
	return settingssync.WriteOutcome{Status: settingssync.Accepted, Operation: "op", Offset: s.offset}, nil
}

func (s *fakeSettings) Outcome(_ context.Context, operation string) (settingssync.WriteOutcome, error) {
	return settingssync.WriteOutcome{Status: settingssync.Unknown, Operation: operation, Offset: settings.NoOffset}, nil
}

func (s *fakeSettings) History(path string) []settings.DecidedWrite {
	return []settings.DecidedWrite{{Offset: 3, Verdict: settings.Accepted, Write: settings.Write{Path: path, Operation: "x"}}}
}

func (s *fakeSettings) LogHealthy() bool { return true }

func (s *fakeSettings) NodeStatuses() []settingssync.NodeStatus {
	return []settingssync.NodeStatus{
		{Node: "entry-1", Offset: s.offset, Agents: 2, AgentsOffset: 1, AgentsBehind: []string{"t2"}},
		{Node: "entry-2", Offset: 2, Age: 40 * time.Millisecond, Agents: 2, AgentsOffset: 1, AgentsBehind: []string{"t2"}},
		{Node: "entry-3", Offset: settings.NoOffset, Silent: true},
	}
}

func loads() map[string]Load {
	return map[string]Load{"t1": {Reachable: true, Running: 3, Limit: 8}}
}

func newFakeSettings() *fakeSettings {
	s := &fakeSettings{offset: 20, entries: map[string]settings.Entry{}}
	for i, setting := range []struct{ path, value string }{
		{"/domains/a", `{}`},
		{"/teams/red", `{}`},
		{"/teams/blue", `{}`},
		{"/teams/red/models/m", `{"versions":["1"]}`},
		{"/teams/red/workloads/w", `{"model":"m"}`},
		{"/targets/t1", `{"agent":"127.0.0.1:1","failure_domain":"a","kind":"model","serves":["m"],"team":"red"}`},
		{"/targets/t2", `{"agent":"127.0.0.1:2","failure_domain":"a","kind":"model","serves":["m"],"state":"out"}`},
		{"/teams/blue/targets/hidden", `{"agent":"127.0.0.1:3","failure_domain":"a","serves":[]}`},
		{"/operators/red", fmt.Sprintf(`{"token_sha256":%q,"subtree":"/teams/red"}`, hashOf("red-token"))},
	} {
		s.entries[setting.path] = settings.Entry{Path: setting.path, Version: int64(i + 1), Value: []byte(setting.value)}
	}
	return s
}

// refusals counts refusals by code.
type refusals map[string]int

func (r refusals) Refused(code string) { r[code]++ }

func newHandler(s *fakeSettings) (http.Handler, refusals) {
	counts := refusals{}
	return NewHandler(Config{
		Node: "entry-1", FailureDomain: "a", Settings: s, Targets: loads,
		BootstrapOperatorTokenSHA256: hashOf("root-token"), Counter: counts,
	}), counts
}

// call sends one request and returns status, body and entity tag.
func call(h http.Handler, token, method, path, body string, headers ...string) (int, string, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	data, _ := io.ReadAll(w.Body)
	return w.Code, string(data), w.Header().Get("ETag")
}

func TestSettingIsReadWrittenAndDeletedByVersion(t *testing.T) {
	s := newFakeSettings()
	h, _ := newHandler(s)
	const path = Prefix + "settings/domains/b"

	code, body, tag := call(h, "root-token", "PUT", path, `{"state":"in"}`, "If-None-Match", "*")
	assert.Equal(t, code, http.StatusOK, body)
	assert.Equal(t, s.last.Author, bootstrapOperator)
	code, _, _ = call(h, "root-token", "PUT", path, `{"state":"in"}`, "If-None-Match", "*")
	assert.Equal(t, code, http.StatusPreconditionFailed)

	code, body, read := call(h, "root-token", "GET", path, "")
	assert.Equal(t, code, http.StatusOK)
	assert.Equal(t, body, "{\"state\":\"in\"}\n")
	assert.Equal(t, read, tag)

	code, _, newer := call(h, "root-token", "PUT", path, `{"state":"out"}`, "If-Match", tag)
	assert.Equal(t, code, http.StatusOK)
	code, body, _ = call(h, "root-token", "DELETE", path, "", "If-Match", tag)
	assert.Equal(t, code, http.StatusPreconditionFailed)
	assert.Assert(t, cmp.Contains(body, CodeVersionMismatch))
	code, _, _ = call(h, "root-token", "DELETE", path, "", "If-Match", newer)
	assert.Equal(t, code, http.StatusOK)
	code, _, _ = call(h, "root-token", "GET", path, "")
	assert.Equal(t, code, http.StatusNotFound)
}

func TestRefusals(t *testing.T) {
	huge := `{"x":"` + strings.Repeat("y", 100_000) + `"}`
	cases := []struct {
		name, token, method, path, body string
		status                          int
		code, detail                    string
	}{
		{"no token", "", "GET", "settings/domains/a", "", 401, CodeUnauthorized, "Bearer"},
		{"wrong token", "guess", "PUT", "settings/domains/a", "{}", 401, CodeUnauthorized, ""},
		{"other team", "red-token", "PUT", "settings/teams/blue/models/m", `{"versions":["1"]}`, 403, CodeOutsideSubtree, "/teams/red"},
		{"own team itself", "red-token", "PUT", "settings/teams/red", `{"share":100}`, 403, CodeOutsideSubtree, ""},
		{"shared", "red-token", "PUT", "settings/domains/a", `{"state":"out"}`, 403, CodeOutsideSubtree, ""},
		{"reads other team", "red-token", "GET", "settings/teams/blue", "", 403, CodeOutsideSubtree, ""},
		{"reads operators", "red-token", "GET", "settings/operators/red", "", 403, CodeOutsideSubtree, ""},
		{"explains other team", "red-token", "GET", "explain?team=blue&workload=w", "", 403, CodeOutsideSubtree, ""},
		{"unknown kind", "root-token", "PUT", "settings/nothing/x", "{}", 404, CodeNotFound, "/domains/NAME"},
		{"unknown resource", "root-token", "GET", "secrets", "", 404, CodeNotFound, ""},
		{"invalid", "root-token", "PUT", "settings/domains/a", `{"stat":"out"}`, 422, CodeInvalidSetting, "stat"},
		{"dangling", "root-token", "PUT", "settings/teams/red/workloads/w", `{"model":"q"}`, 422, CodeInvalidSetting, "/teams/red/models/q"},
		{"still used", "root-token", "DELETE", "settings/domains/a", "", 422, CodeInvalidSetting, "/targets/t1"},
		{"empty", "root-token", "PUT", "settings/domains/a", "", 422, CodeInvalidSetting, "empty"},
		{"cut", "root-token", "PUT", "settings/domains/a", `{"state":`, 422, CodeInvalidSetting, "cut off"},
		{"deep", "root-token", "PUT", "settings/domains/a", strings.Repeat(`[`, 60_000), 422, CodeInvalidSetting, "nested deeper"},
		{"not UTF-8", "root-token", "PUT", "settings/domains/a", "\"\xff\"", 422, CodeInvalidSetting, "UTF-8"},
		{"huge", "root-token", "PUT", "settings/domains/a", huge, 413, CodeBodyTooLarge, "65536"},
		{"delete of nothing", "root-token", "DELETE", "settings/domains/z", "", 404, CodeNotFound, ""},
		{"bad offset", "root-token", "GET", "in-force?offset=-2", "", 400, CodeBadRequest, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeSettings()
			h, counts := newHandler(s)
			status, body, _ := call(h, c.token, c.method, Prefix+c.path, c.body)
			assert.Equal(t, status, c.status, body)
			assert.Assert(t, cmp.Contains(body, `"code":"`+c.code+`"`))
			assert.Assert(t, cmp.Contains(body, c.detail))
			assert.Equal(t, counts[c.code], 1)
			assert.Equal(t, s.last.Path, "")
		})
	}
}

func TestBadConditionIsRefused(t *testing.T) {
	h, _ := newHandler(newFakeSettings())
	for _, condition := range []string{"17", `W/"17"`, `"x"`, `"-4"`, "*"} {
		status, _, _ := call(h, "root-token", "PUT", Prefix+"settings/domains/a", "{}", "If-Match", condition)
		assert.Equal(t, status, http.StatusBadRequest, condition)
	}
}

func TestOutcomesOfWriteHaveDistinctCodes(t *testing.T) {
	cases := []struct {
		status    settingssync.Status
		condition string
		want      int
		code      string
	}{
		{settingssync.Rejected, "", 409, CodeConflict},
		{settingssync.Rejected, `"1"`, 412, CodeVersionMismatch},
		{settingssync.NotAccepted, "", 503, CodePlatformAway},
		{settingssync.Unknown, "", 504, CodeOutcomeUnknown},
	}
	for _, c := range cases {
		s := newFakeSettings()
		h, _ := newHandler(s)
		s.answer = &settingssync.WriteOutcome{Status: c.status, Operation: "op-7", Offset: settings.NoOffset}
		status, body, _ := call(h, "root-token", "PUT", Prefix+"settings/domains/a", "{}", "If-Match", c.condition)
		assert.Equal(t, status, c.want)
		var problem Problem
		assert.NilError(t, json.Unmarshal([]byte(body), &problem))
		assert.Equal(t, problem.Code, c.code)
		assert.Equal(t, problem.Result.Operation, "op-7")
	}
}

func TestOperationIDsOfOperatorsDiffer(t *testing.T) {
	s := newFakeSettings()
	h, _ := newHandler(s)
	call(h, "root-token", "PUT", Prefix+"settings/teams/red/models/m", `{"versions":["2"]}`, "Idempotency-Key", "k")
	assert.Equal(t, s.last.Operation, "bootstrap:k")
	call(h, "red-token", "PUT", Prefix+"settings/teams/red/models/m", `{"versions":["2"]}`, "Idempotency-Key", "k")
	assert.Equal(t, s.last.Operation, "red:k")
}

func TestListContainsOnlyReadableSettings(t *testing.T) {
	h, _ := newHandler(newFakeSettings())
	list := func(token, query string) List {
		var answer List
		_, body, _ := call(h, token, "GET", Prefix+"settings"+query, "")
		assert.NilError(t, json.Unmarshal([]byte(body), &answer))
		return answer
	}
	assert.Equal(t, len(list("root-token", "").Settings), 9)
	for _, setting := range list("red-token", "").Settings {
		assert.Assert(t, !strings.HasPrefix(setting.Path, "/teams/blue") && setting.Path != "/operators/red", setting.Path)
	}
	_, targets, _ := call(h, "red-token", "GET", Prefix+"targets", "")
	assert.Assert(t, cmp.Contains(targets, `"t1"`))
	assert.Assert(t, !strings.Contains(targets, "hidden"), targets)
	page := list("root-token", "?prefix=/teams/red&limit=2")
	assert.Equal(t, page.Next, "/teams/red/models/m")
	page = list("root-token", "?prefix=/teams/red&limit=2&after="+page.Next)
	assert.Equal(t, page.Settings[0].Path, "/teams/red/workloads/w")
	assert.Equal(t, page.Next, "")
}

func TestValidateChecksProposalsTogether(t *testing.T) {
	h, _ := newHandler(newFakeSettings())
	validate := func(token, body string) Validation {
		var answer Validation
		_, text, _ := call(h, token, "POST", Prefix+"validate", body)
		assert.NilError(t, json.Unmarshal([]byte(text), &answer), text)
		return answer
	}
	together := `{"settings":[
		{"path":"/teams/red/workloads/v","value":{"model":"n"}},
		{"path":"/teams/red/models/n","value":{"versions":["1"]}}]}`
	answer := validate("red-token", together)
	assert.Assert(t, answer.Valid, "%v", answer.Problems)
	assert.Assert(t, len(answer.Problems) == 1 && answer.Problems[0].Warning, "%v", answer.Problems)

	answer = validate("red-token", `{"settings":[{"path":"/teams/red/models/m","delete":true},{"path":"/domains/b","value":{}}]}`)
	assert.Assert(t, !answer.Valid)
	assert.Equal(t, len(answer.Problems), 2, "%v", answer.Problems)
	assert.Assert(t, !validate("red-token", `{"settings":`).Valid)
}

func TestInForceListsMissingNodes(t *testing.T) {
	h, _ := newHandler(newFakeSettings())
	_, body, _ := call(h, "red-token", "GET", Prefix+"in-force?offset=2", "")
	var answer InForce
	assert.NilError(t, json.Unmarshal([]byte(body), &answer))
	var missing []string
	for _, node := range answer.Missing {
		missing = append(missing, node.Name)
	}
	assert.DeepEqual(t, missing, []string{"entry-3", "t2"})
	assert.Equal(t, answer.Nodes, 6)
	assert.Assert(t, !answer.InForce)
}

func TestExplainGivesReasonForEachTarget(t *testing.T) {
	h, _ := newHandler(newFakeSettings())
	_, body, _ := call(h, "red-token", "GET", Prefix+"explain?team=red&workload=w", "")
	var answer Explanation
	assert.NilError(t, json.Unmarshal([]byte(body), &answer))
	assert.Equal(t, answer.Class, "interactive")
	assert.Equal(t, len(answer.Candidates), 2)
	assert.Assert(t, answer.Candidates[0].Eligible)
	assert.Equal(t, answer.Candidates[1].Reason, "target is out")
}

// The entry's catalog follows the settings with a short delay. A read or check after
// an answered write must show it nevertheless.
func TestReadShowsPrecedingWriteWhileCatalogIsBehind(t *testing.T) {
	s := newFakeSettings()
	behind := catalog.Build(s.Snapshot())
	h := NewHandler(Config{
		Settings: s, Catalog: func() *catalog.Catalog { return behind }, BootstrapOperatorTokenSHA256: hashOf("root-token"),
	})
	status, body, _ := call(h, "root-token", "PUT", Prefix+"settings/domains/b", "{}")
	assert.Equal(t, status, http.StatusOK, body)
	target := `{"agent":"127.0.0.1:9","failure_domain":"b","kind":"model","serves":["m"],"team":"red"}`
	status, body, _ = call(h, "root-token", "PUT", Prefix+"settings/targets/t9", target)
	assert.Equal(t, status, http.StatusOK, body)
	_, body, _ = call(h, "root-token", "GET", Prefix+"targets", "")
	assert.Assert(t, cmp.Contains(body, "t9"))
}

func TestExplainMatchesRoutesOfService(t *testing.T) {
	s := newFakeSettings()
	for i, setting := range []struct{ path, value string }{
		{"/teams/red/services/s", `{"routes":[{"method":"POST","path_prefix":"/entries","class":"certificate"}]}`},
		{"/targets/s1", `{"agent":"127.0.0.1:4","failure_domain":"a","kind":"service","serves":["s"],"team":"red"}`},
		{"/targets/s2", `{"agent":"127.0.0.1:5","failure_domain":"b","kind":"service","serves":["s"],"team":"red"}`},
		{"/domains/b", `{"state":"out"}`},
	} {
		s.entries[setting.path] = settings.Entry{Path: setting.path, Version: int64(i + 10), Value: []byte(setting.value)}
	}
	known := map[string]Load{"s1": {Reachable: true, Leaving: true}}
	var entryReason string
	h := NewHandler(Config{
		Settings: s, Targets: func() map[string]Load { return known }, BootstrapOperatorTokenSHA256: hashOf("root-token"),
	})
	explain := func(query string) Explanation {
		var answer Explanation
		_, body, _ := call(h, "root-token", "GET", Prefix+"explain?team=red&service=s&"+query, "")
		assert.NilError(t, json.Unmarshal([]byte(body), &answer), body)
		return answer
	}
	assert.Assert(t, cmp.Contains(explain("method=GET&path=/entries").Refused, "no route"))
	answer := explain("method=POST&path=/entries/7")
	assert.Equal(t, answer.Class, "certificate")
	assert.Assert(t, !answer.Idempotent)
	assert.Equal(t, answer.Candidates[0].Reason, "leaving")
	assert.Equal(t, answer.Candidates[1].Reason, "failure domain b is out")
	assert.Assert(t, answer.Refused != "")
	h = NewHandler(Config{
		Settings: s, Targets: func() map[string]Load { return known }, BootstrapOperatorTokenSHA256: hashOf("root-token"),
		Explain: func(routeQuery RouteQuery) []routing.Explanation {
			assert.Equal(t, routeQuery.Name.Name, "s")
			return []routing.Explanation{{Target: "s1", Tier: routing.TierNear, Utilization: 0.5, IneligibleReason: entryReason}}
		},
	})
	known["s1"] = Load{Reachable: true}
	entryReason = "excluded"
	answer = explain("method=POST&path=/entries")
	assert.Equal(t, answer.Candidates[0].Reason, "excluded")
	assert.Equal(t, answer.Candidates[0].Tier, "near")
	entryReason = ""
	for _, c := range []struct {
		load Load
		want string
	}{
		{Load{}, "not reachable"},
		{Load{Reachable: true, Cold: true}, "in and cold: up to its cold limit"},
		{Load{Reachable: true, Running: 2, Limit: 2}, "in, but at its limit"},
		{Load{Reachable: true}, "in"},
	} {
		known["s1"] = c.load
		assert.Equal(t, explain("method=POST&path=/entries").Candidates[0].Reason, c.want)
	}
}

func TestTeamsListsOwnSubtreeOnly(t *testing.T) {
	h, _ := newHandler(newFakeSettings())
	teams := func(token string) Teams {
		var answer Teams
		_, body, _ := call(h, token, "GET", Prefix+"teams", "")
		assert.NilError(t, json.Unmarshal([]byte(body), &answer))
		return answer
	}
	assert.Equal(t, len(teams("root-token").Teams), 2)
	assert.Equal(t, teams("red-token").Teams[0].Subtree, "/teams/red")
	assert.Equal(t, len(teams("red-token").Teams), 1)
}

func TestNotReadyWithoutSettings(t *testing.T) {
	h, _ := newHandler(&fakeSettings{})
	status, _, _ := call(h, "root-token", "GET", Prefix+"status", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	status, _, _ = call(h, "red-token", "GET", Prefix+"status", "")
	assert.Equal(t, status, http.StatusUnauthorized)
}

// FuzzAPI sends arbitrary methods, paths, bodies and conditions, and expects a
// well-formed answer and no write outside the operator's subtree.
func FuzzAPI(f *testing.F) {
	f.Add("PUT", "settings/teams/red/models/m", []byte(`{"versions":["1"]}`), `"4"`)
	f.Add("PUT", "settings/teams/red/../blue/models/m", []byte(`{"versions":["1"]}`), "")
	f.Add("PUT", "settings/teams/red%2F..%2Fblue", []byte(`{}`), "*")
	f.Add("DELETE", "settings/domains/a", []byte(nil), `"999999999999999999999"`)
	f.Add("POST", "validate", []byte(`{"settings":[{"path":"/x","value":null},{"path":"","delete":true}]}`), "")
	f.Add("GET", "in-force?offset=1e3", []byte(nil), "")
	f.Add("GET", "explain?team=red&service=s&method=GET&path=/", []byte(nil), "")
	f.Fuzz(func(t *testing.T, method, path string, body []byte, condition string) {
		r, err := http.NewRequest(method, "http://entry"+Prefix+path, strings.NewReader(string(body)))
		if err != nil || method == http.MethodConnect {
			return
		}
		r.Header.Set("Authorization", "Bearer red-token")
		r.Header["If-Match"] = []string{condition}
		s := newFakeSettings()
		h, _ := newHandler(s)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if s.last.Path != "" && !strings.HasPrefix(s.last.Path, "/teams/red/") {
			t.Fatalf("write outside the operator's subtree: %s", s.last.Path)
		}
		if w.Code >= http.StatusInternalServerError {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
		isJSON := strings.HasSuffix(w.Header().Get("Content-Type"), "json")
		if isJSON && method != http.MethodHead && !json.Valid(w.Body.Bytes()) {
			t.Fatalf("answer is not JSON: %q", w.Body)
		}
	})
}
