package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/internal/adapter/link"
	platformclient "quetzalbend/internal/adapter/platform"
	"quetzalbend/internal/app/standin/platform"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/port"
	"quetzalbend/internal/settingssync"
	"quetzalbend/internal/wire"
)

// testSystem is a platform stand-in and an agent that answers each call with two
// tokens.
type testSystem struct {
	t        testing.TB
	platform string
	log      port.Log
	offset   int64
	agent    string
	release  chan struct{} // closed to let calls end
}

func newTestSystem(t *testing.T) *testSystem {
	t.Helper()
	s := &testSystem{t: t, platform: servePlatform(t, platform.Config{}), offset: settings.NoOffset, release: make(chan struct{})}
	s.connect()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.agent = listener.Addr().String()
	agent := link.NewServer(link.Config{}, s.serve)
	go func() { _ = agent.Serve(listener) }()
	t.Cleanup(func() {
		stopped, cancel := context.WithCancel(context.Background())
		cancel()
		_ = agent.Shutdown(stopped)
	})
	return s
}

// servePlatform serves a platform stand-in and returns its base URL.
func servePlatform(t testing.TB, cfg platform.Config) string {
	server := httptest.NewServer(platform.New(cfg).Handler())
	t.Cleanup(server.Close)
	return server.URL
}

func (s *testSystem) connect() {
	s.log = platformclient.NewClient(platformclient.Config{BaseURL: s.platform, Node: "test"})
}

// serve answers a call as an agent would, with two tokens, of which the second one
// waits for the release.
func (s *testSystem) serve(_ context.Context, open *wire.Open, stream *link.Stream) {
	call := open.GetCall()
	if call == nil {
		return
	}
	first, second := []byte("data: {\"n\":1}\n\n"), []byte("data: {\"n\":2}\n\n")
	frames := []*wire.AnswerFrame{
		{Body: &wire.AnswerFrame_Admitted{Admitted: &wire.Admitted{}}},
		{Body: &wire.AnswerFrame_Head{Head: &wire.Head{Status: 200}}},
		{Body: &wire.AnswerFrame_Chunk{Chunk: &wire.Chunk{Data: first, Position: 1}}},
		{Body: &wire.AnswerFrame_Chunk{Chunk: &wire.Chunk{Data: second, Position: 2}}},
		{Body: &wire.AnswerFrame_Final{Final: &wire.Final{Frames: 2, Bytes: int64(len(first) + len(second)), Tokens: 2}}},
	}
	for i, frame := range frames {
		if i == 3 {
			<-s.release
		}
		frame.RequestId, frame.Sequence = call.GetRequestId(), int64(i)
		if stream.Send(frame) != nil {
			return
		}
	}
}

// put appends a write of a setting to the settings log.
func (s *testSystem) put(path string, value string) {
	s.t.Helper()
	write := &settings.Write{Operation: fmt.Sprint("op", s.offset), Path: path, Value: json.RawMessage(value), AsOf: s.offset}
	data, err := settings.EncodeRecord(settings.Record{Write: write})
	assert.NilError(s.t, err)
	s.offset, err = s.log.Append(context.Background(), port.SettingsStream, [][]byte{data})
	assert.NilError(s.t, err)
}

// hashOfSecret returns the hash of the account's token.
func hashOfSecret() string {
	sum := sha256.Sum256([]byte("secret"))
	return hex.EncodeToString(sum[:])
}

func (s *testSystem) putDefaults() {
	s.put("/domains/d", `{"state":"in"}`)
	s.put("/teams/t", `{"share":1}`)
	s.put("/teams/t/accounts/a", `{"token_sha256":"`+hashOfSecret()+`"}`)
	s.put("/teams/t/models/m", `{"versions":["v"]}`)
	s.put("/teams/t/workloads/draft", `{"model":"m","version":"v","class":"interactive","timeout_ms":60000}`)
	s.put("/targets/t0", `{"agent":"`+s.agent+`","failure_domain":"d","kind":"model","team":"t","serves":["m"],"state":"in","cold_limit":4,"max_limit":8}`)
}

// start runs an entry and returns it, a function that makes it leave, and a
// channel for the result of Run.
func (s *testSystem) start(name string, change func(*Config)) (*Entry, func(), <-chan error) {
	s.t.Helper()
	cfg := Config{
		Name: name, FailureDomain: "d", Platform: s.platform,
		CallersListen: "127.0.0.1:0", OperatorsListen: "127.0.0.1:0", PeersListen: "127.0.0.1:0",
		NoticeMS: 50,
	}
	if change != nil {
		change(&cfg)
	}
	assert.Equal(s.t, len(Check(&cfg)), 0)
	e, err := New(cfg)
	assert.NilError(s.t, err)
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	s.t.Cleanup(leave)
	return e, leave, done
}

func get(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// eventually waits until a condition holds or fails the test.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(15*time.Second))
}

func waitReady(t *testing.T, e *Entry) {
	t.Helper()
	eventually(t, "the entry is ready", func() bool { return get("http://"+e.OperatorsAddr()+"/readyz") == 200 })
}

func chat(e *Entry) (*http.Response, error) {
	body := `{"model":"draft","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+e.CallersAddr()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer secret")
	return http.DefaultTransport.RoundTrip(req)
}

func TestRequestFromCallerToAgent(t *testing.T) {
	s := newTestSystem(t)
	s.putDefaults()
	close(s.release)
	e, _, _ := s.start("e0", nil)
	waitReady(t, e)
	resp, err := chat(e)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "data: {\"n\":1}\n\ndata: {\"n\":2}\n\ndata: [DONE]\n\n")

	metrics, err := http.Get("http://" + e.OperatorsAddr() + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = metrics.Body.Close() }()
	text, err := io.ReadAll(metrics.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), `quetzalbend_first_token_seconds_count{team="t",class="interactive"} 1`), "%s", text)
}

func TestLeavingFailsReadinessFirstAndFinishesRunningRequests(t *testing.T) {
	s := newTestSystem(t)
	s.putDefaults()
	e, leave, done := s.start("e0", func(c *Config) { c.NoticeMS = 1000 })
	waitReady(t, e)
	running, err := chat(e)
	assert.NilError(t, err)
	defer func() { _ = running.Body.Close() }()

	leave()
	eventually(t, "readiness fails", func() bool { return get("http://"+e.OperatorsAddr()+"/readyz") == 503 })
	late, err := chat(e) // still served within the notice time
	assert.NilError(t, err)
	defer func() { _ = late.Body.Close() }()
	assert.Equal(t, late.StatusCode, 200)
	eventually(t, "connections are refused", func() bool {
		conn, err := net.Dial("tcp", e.CallersAddr())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	close(s.release)
	for _, resp := range []*http.Response{running, late} {
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasSuffix(string(body), "[DONE]\n\n"))
	}
	assert.NilError(t, <-done)
}

func TestEntryIsNotReadyAndSendsNoWorkWhileDomainIsOut(t *testing.T) {
	s := newTestSystem(t)
	s.putDefaults()
	close(s.release)
	e, _, _ := s.start("e0", nil)
	waitReady(t, e)
	s.put("/domains/d", `{"state":"out"}`)
	eventually(t, "readiness fails", func() bool { return get("http://"+e.OperatorsAddr()+"/readyz") == 503 })
	resp, err := chat(e)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Assert(t, strings.Contains(string(body), `"code":"no_target"`), "%s", body)
}

func TestStrikesReachOtherEntries(t *testing.T) {
	s := newTestSystem(t)
	s.putDefaults()
	one, _, _ := s.start("e1", nil)
	waitReady(t, one)
	two, _, _ := s.start("e2", func(c *Config) {
		c.Peers = []settingssync.Peer{{Name: "e1", Addr: one.PeersAddr(), FailureDomain: "d"}}
	})
	waitReady(t, two)
	two.exchange.notifyStrike(two.strikes.Strike("print", 4, time.Now()))
	eventually(t, "the strike has arrived", func() bool { return len(one.strikes.Counts(time.Now())) == 1 })
}

func TestCheckNamesInvalidFields(t *testing.T) {
	problems := Check(&Config{Name: "e", CallersListen: "host:1", Platform: "x", Routing: Routing{Strategy: "best", StallMS: -1}})
	var fields []string
	for _, problem := range problems {
		fields = append(fields, problem.Field)
	}
	assert.DeepEqual(t, fields, []string{
		"failure_domain", "callers_listen", "operators_listen", "peers_listen", "platform", "routing.stall_ms", "routing.strategy",
	})
}

func TestLeavingVMTakesItsTargetOrEntryOut(t *testing.T) {
	s := newTestSystem(t)
	s.putDefaults()
	s.put("/targets/t0", `{"agent":"`+s.agent+`","failure_domain":"d","kind":"model","team":"t","serves":["m"],"state":"in","cold_limit":4,"max_limit":8,"vm":"vm0"}`)
	e, _, _ := s.start("e0", nil)
	waitReady(t, e)
	s.setFaults(`{"vms":[{"name":"vm0","state":"leaving"},{"name":"e0","state":"live"}]}`)
	eventually(t, "the target leaves", func() bool { return e.tables.states.Get("t0").Leaving(time.Now()) })
	assert.Equal(t, get("http://"+e.OperatorsAddr()+"/readyz"), http.StatusOK)
	s.setFaults(`{"vms":[{"name":"vm0","state":"live"},{"name":"e0","state":"leaving"}]}`)
	eventually(t, "readiness fails", func() bool { return get("http://"+e.OperatorsAddr()+"/readyz") == 503 })
	assert.Assert(t, !e.tables.states.Get("t0").Leaving(time.Now()))
}

// setFaults sets the faults of the platform stand-in.
func (s *testSystem) setFaults(faults string) {
	s.t.Helper()
	resp, err := http.Post(s.platform+"/standin/fault", "application/json", strings.NewReader(faults))
	assert.NilError(s.t, err)
	assert.NilError(s.t, resp.Body.Close())
	assert.Equal(s.t, resp.StatusCode, http.StatusNoContent)
}
