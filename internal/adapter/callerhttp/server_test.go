package callerhttp

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/dispatch"
	"quetzalbend/internal/wire"
)

// fakeDispatcher answers with the result of respond, or with a fixed answer if
// respond is nil, and keeps the last request.
type fakeDispatcher struct {
	respond func(ctx context.Context, out dispatch.StreamWriter) (*dispatch.Answer, error)
	last    *dispatch.Request
}

func (f *fakeDispatcher) Do(ctx context.Context, _ *routing.Table, req *dispatch.Request, out dispatch.StreamWriter) (*dispatch.Answer, error) {
	f.last = req
	if f.respond == nil {
		return &dispatch.Answer{Status: http.StatusOK, Body: []byte(`{"ok":true}`)}, nil
	}
	return f.respond(ctx, out)
}

type fixedTable struct{ table *routing.Table }

func (f fixedTable) Table() *routing.Table { return f.table }

func testCatalog() *catalog.Catalog {
	sum := sha256.Sum256([]byte("secret"))
	values := map[string]any{
		"/teams/team/accounts/account": schema.Account{TokenSHA256: hex.EncodeToString(sum[:])},
		"/teams/team/services/entries": schema.Service{TimeoutMS: 1000, Routes: []schema.Route{
			{Method: http.MethodGet, PathPrefix: "/status", Idempotent: true, Class: schema.Batch},
			{Method: http.MethodPost, PathPrefix: "/confirm", Class: schema.Certificate},
		}},
		"/teams/team/workloads/draft": schema.Workload{Model: "m", Version: "v", Class: schema.Interactive, TimeoutMS: 1000},
	}
	var entries []settings.Entry
	for path, value := range values {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		entries = append(entries, settings.Entry{Path: path, Value: data})
	}
	return catalog.Build(settings.NewSnapshot(0, entries))
}

// startServer serves callers on loopback and returns the address.
func startServer(t *testing.T, cfg Config) string {
	t.Helper()
	if cfg.Tables == nil {
		cfg.Tables = fixedTable{routing.NewTable(routing.Config{}, testCatalog(), routing.NewStates())}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(cfg)
	go func() { _ = server.Serve(LimitListener(listener, cfg.Bounds.Connections)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func sendRequest(t *testing.T, addr, method, path, body string, headers ...string) (*http.Response, Problem) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	var problem Problem
	if resp.Header.Get("Content-Type") == problemContentType {
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&problem))
	}
	return resp, problem
}

const (
	chatPath = "/v1/chat/completions"
	chatBody = `{"model":"draft","messages":[{"role":"user","content":"hi"}]}`
)

func TestRefusalsReportThatNothingRan(t *testing.T) {
	deep := `{"model":"draft","messages":` + strings.Repeat("[", 100000)
	for what, c := range map[string]struct {
		method, path, body string
		headers            []string
		status             int
		code               string
	}{
		"empty":          {"POST", chatPath, "", nil, 400, CodeBadRequest},
		"cut":            {"POST", chatPath, chatBody[:20], nil, 400, CodeBadRequest},
		"deep":           {"POST", chatPath, deep, nil, 400, CodeBadRequest},
		"not UTF-8":      {"POST", chatPath, "{\"model\":\"\xff\"}", nil, 400, CodeBadRequest},
		"no messages":    {"POST", chatPath, `{"model":"draft"}`, nil, 400, CodeBadRequest},
		"unknown model":  {"POST", chatPath, strings.Replace(chatBody, "draft", "x", 1), nil, 404, CodeUnknownModel},
		"huge":           {"POST", chatPath, strings.Repeat(" ", 2<<20), nil, 413, CodeBodyTooLarge},
		"bad timeout":    {"POST", chatPath, chatBody, []string{TimeoutHeader, "5s"}, 400, CodeBadRequest},
		"unknown path":   {"GET", "/v2", "", nil, 404, CodeNotFound},
		"no service":     {"GET", "/v1/services/x/status", "", nil, 404, CodeUnknownService},
		"no route":       {"DELETE", "/v1/services/entries/status", "", nil, 404, CodeNoRoute},
		"other prefix":   {"GET", "/v1/services/entries/statuses", "", nil, 404, CodeNoRoute},
		"no key":         {"POST", "/v1/services/entries/confirm", "{}", nil, 400, CodeKeyRequired},
		"two keys":       {"POST", "/v1/services/entries/confirm", "{}", []string{IdempotencyKeyHeader, "a", IdempotencyKeyHeader, "b"}, 400, CodeInvalidKey},
		"long key":       {"POST", "/v1/services/entries/confirm", "{}", []string{IdempotencyKeyHeader, strings.Repeat("a", 256)}, 400, CodeInvalidKey},
		"encoded slash":  {"GET", "/v1/services/entries/status%2f..%2fconfirm", "", nil, 400, CodeBadRequest},
		"slash in name":  {"GET", "/v1/services/entries/status/a%2fb", "", nil, 400, CodeBadRequest},
		"encoded parent": {"GET", "/v1/services/entries/status/%2e%2e/confirm", "", nil, 400, CodeBadRequest},
	} {
		t.Run(what, func(t *testing.T) {
			addr := startServer(t, Config{Dispatcher: &fakeDispatcher{}})
			resp, problem := sendRequest(t, addr, c.method, c.path, c.body, c.headers...)
			assert.Equal(t, problem.Code, c.code)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Equal(t, problem.Ran, "no")
		})
	}
}

func TestUnknownTokenIsRefused(t *testing.T) {
	addr := startServer(t, Config{Dispatcher: &fakeDispatcher{}})
	for _, value := range []string{"", "Bearer", "Bearer wrong", "Basic secret"} {
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/v1/models", nil)
		assert.NilError(t, err)
		req.Header.Set("Authorization", value)
		resp, err := http.DefaultTransport.RoundTrip(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	}
}

func TestNotReadyWithoutSettings(t *testing.T) {
	addr := startServer(t, Config{Dispatcher: &fakeDispatcher{}, Tables: fixedTable{}})
	resp, problem := sendRequest(t, addr, "POST", chatPath, chatBody)
	assert.Equal(t, problem.Code, CodeNotReady)
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
}

func TestModelsListsWorkloadsOfTeam(t *testing.T) {
	addr := startServer(t, Config{Dispatcher: &fakeDispatcher{}})
	resp, _ := sendRequest(t, addr, "GET", "/v1/models", "")
	var list modelList
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&list))
	assert.DeepEqual(t, list.Data, []model{{ID: "draft", Object: "model", OwnedBy: "team"}})
}

func TestServiceCallKeepsPathKeyAndRouteClass(t *testing.T) {
	d := &fakeDispatcher{}
	addr := startServer(t, Config{Dispatcher: d})
	resp, _ := sendRequest(t, addr, "POST", "/v1/services/entries/confirm/7?x=a%20b", "{}", IdempotencyKeyHeader, "key", "X-Other", "1")
	assert.Equal(t, resp.StatusCode, 200)
	call := d.last.Service
	assert.Equal(t, call.GetPath(), "/confirm/7?x=a%20b")
	assert.Equal(t, call.GetIdempotencyKey(), "key")
	assert.Equal(t, call.GetIdempotent(), false)
	assert.Equal(t, d.last.Class, schema.Certificate)
	for _, header := range call.GetHeaders() {
		assert.Assert(t, header.GetName() != "Authorization")
	}
	_, _ = sendRequest(t, addr, "GET", "/v1/services/entries/status", "")
	assert.Equal(t, d.last.Service.GetIdempotent(), true)
	assert.Equal(t, d.last.Class, schema.Batch)
}

func TestCompleteStreamEndsWithDone(t *testing.T) {
	d := &fakeDispatcher{respond: func(_ context.Context, out dispatch.StreamWriter) (*dispatch.Answer, error) {
		assert.NilError(t, out.Write([]byte("data: {\"a\":1}\n\n")))
		assert.NilError(t, out.Write([]byte("data: {\"b\":2}\n\ndata: [DONE]\n\n")))
		return &dispatch.Answer{Streamed: true, Status: 200}, nil
	}}
	addr := startServer(t, Config{Dispatcher: d})
	resp, _ := sendRequest(t, addr, "POST", chatPath, `{"model":"draft","stream":true,"messages":[{"role":"user","content":"hi"}]}`)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get("Content-Type"), "text/event-stream")
	assert.Equal(t, string(body), "data: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n")
}

func TestTruncatedStreamIsNotReportedAsComplete(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/2.0"} {
		t.Run(protocol, func(t *testing.T) {
			d := &fakeDispatcher{respond: func(_ context.Context, out dispatch.StreamWriter) (*dispatch.Answer, error) {
				assert.NilError(t, out.Write([]byte("data: {}\n\ndata: [DONE]\n\n")))
				return nil, &dispatch.Failure{Code: dispatch.CodeIncomplete, Ran: wire.Ran_RAN_YES, Streaming: true}
			}}
			addr := startServer(t, Config{Dispatcher: d})
			transport := &http.Transport{Protocols: &http.Protocols{}}
			transport.Protocols.SetHTTP1(protocol == "HTTP/1.1")
			transport.Protocols.SetUnencryptedHTTP2(protocol == "HTTP/2.0")
			body := `{"model":"draft","stream":true,"messages":[{"role":"user","content":"hi"}]}`
			req, err := http.NewRequest(http.MethodPost, "http://"+addr+chatPath, strings.NewReader(body))
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer secret")
			resp, err := transport.RoundTrip(req)
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			assert.Equal(t, resp.Proto, protocol)
			got, err := io.ReadAll(resp.Body)
			assert.Assert(t, err != nil, "the body ended as if it were complete")
			assert.Assert(t, !bytes.Contains(got, sseDone))
			assert.Assert(t, bytes.Contains(got, []byte(`"code":"answer_incomplete"`)), "%s", got)
		})
	}
}

func TestFailuresReportWhetherRequestRan(t *testing.T) {
	for _, c := range []struct {
		failure dispatch.Failure
		status  int
		ran     string
		retry   string
	}{
		{dispatch.Failure{Code: "full", Ran: wire.Ran_RAN_NO, RetryAfter: 1500 * time.Millisecond}, 503, "no", "2"},
		{dispatch.Failure{Code: dispatch.CodeOutcomeUnknown, Ran: wire.Ran_RAN_UNKNOWN}, 502, "unknown", ""},
		{dispatch.Failure{Code: dispatch.CodeDeadline, Ran: wire.Ran_RAN_YES}, 504, "yes", ""},
		{dispatch.Failure{Code: dispatch.CodeCrashesTargets, Ran: wire.Ran_RAN_NO}, 422, "no", ""},
	} {
		d := &fakeDispatcher{respond: func(context.Context, dispatch.StreamWriter) (*dispatch.Answer, error) { return nil, &c.failure }}
		addr := startServer(t, Config{Dispatcher: d})
		resp, problem := sendRequest(t, addr, "POST", chatPath, chatBody)
		assert.Equal(t, resp.StatusCode, c.status)
		assert.Equal(t, problem.Ran, c.ran)
		assert.Equal(t, problem.Code, c.failure.Code)
		assert.Equal(t, resp.Header.Get("Retry-After"), c.retry)
	}
}

func TestCallersTimeoutShortensTheDeadline(t *testing.T) {
	d := &fakeDispatcher{respond: func(ctx context.Context, _ dispatch.StreamWriter) (*dispatch.Answer, error) {
		<-ctx.Done()
		return nil, &dispatch.Failure{Code: dispatch.CodeDeadline}
	}}
	addr := startServer(t, Config{Dispatcher: d})
	resp, _ := sendRequest(t, addr, "POST", chatPath, chatBody, TimeoutHeader, "20")
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
}

func TestCallerDisconnectCancelsContext(t *testing.T) {
	running, gone := make(chan struct{}), make(chan struct{})
	d := &fakeDispatcher{respond: func(ctx context.Context, _ dispatch.StreamWriter) (*dispatch.Answer, error) {
		close(running)
		<-ctx.Done()
		if ctx.Err() == context.Canceled {
			close(gone)
		}
		return nil, &dispatch.Failure{Code: dispatch.CodeCallerGone}
	}}
	addr := startServer(t, Config{Dispatcher: d})
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", chatPath, len(chatBody), chatBody)
	assert.NilError(t, err)
	<-running
	assert.NilError(t, conn.Close())
	<-gone
}

func TestSlowSendersTimeOut(t *testing.T) {
	bounds := Bounds{HeaderTimeout: 30 * time.Millisecond, BodyTimeout: 30 * time.Millisecond}
	addr := startServer(t, Config{Dispatcher: &fakeDispatcher{}, Bounds: bounds})
	for what, c := range map[string]struct{ sent, want string }{
		"header": {"POST /v1/chat", " 4"},
		"body":   {"POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: 100\r\n\r\n{", "408"},
	} {
		t.Run(what, func(t *testing.T) {
			conn, err := net.Dial("tcp", addr)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, c.sent)
			assert.NilError(t, err)
			answer, err := io.ReadAll(conn) // returns when the server closes the connection
			assert.NilError(t, err)
			assert.Assert(t, bytes.Contains(answer, []byte(c.want)), "%s", answer)
		})
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	addr := startServer(t, Config{Dispatcher: &fakeDispatcher{}, Bounds: Bounds{Connections: 1}})
	held, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	_, err = fmt.Fprintf(held, "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n\r\n")
	assert.NilError(t, err)
	_, err = bufio.NewReader(held).ReadString('\n')
	assert.NilError(t, err)

	waiting, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = waiting.Close() }()
	_, err = fmt.Fprintf(waiting, "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n\r\n")
	assert.NilError(t, err)
	reader := bufio.NewReader(waiting)
	assert.NilError(t, waiting.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = reader.ReadString('\n')
	assert.Assert(t, err != nil, "a connection beyond the limit was served")

	assert.NilError(t, held.Close())
	assert.NilError(t, waiting.SetReadDeadline(time.Now().Add(5*time.Second)))
	line, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(line, "200"), line)
}

func TestBodiesOfAllCallersAreBounded(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	d := &fakeDispatcher{respond: func(context.Context, dispatch.StreamWriter) (*dispatch.Answer, error) {
		close(running)
		<-release
		return &dispatch.Answer{Status: http.StatusOK}, nil
	}}
	// A request holds its body twice and the beginning of its answer.
	held := int64(2*len(chatBody) + aheadBytes)
	addr := startServer(t, Config{Dispatcher: d, Memory: memory.NewBudget((held + 100) * 100 / 38)}) // requests may use 0.85 of 0.45 of it
	done := make(chan int)
	go func() {
		resp, _ := sendRequest(t, addr, "POST", chatPath, chatBody)
		done <- resp.StatusCode
	}()
	<-running
	_, problem := sendRequest(t, addr, "POST", chatPath, chatBody)
	assert.Equal(t, problem.Code, CodeBusy)
	close(release)
	assert.Equal(t, <-done, http.StatusOK)
	d.respond = nil
	resp, _ := sendRequest(t, addr, "POST", chatPath, chatBody)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func TestCallerThatDoesNotReadTimesOut(t *testing.T) {
	stopped := make(chan error, 1)
	d := &fakeDispatcher{respond: func(_ context.Context, out dispatch.StreamWriter) (*dispatch.Answer, error) {
		piece := []byte("data: " + strings.Repeat("x", 1<<20) + "\n\n")
		for {
			if err := out.Write(piece); err != nil {
				stopped <- err
				return nil, &dispatch.Failure{Code: dispatch.CodeCallerGone, Streaming: true}
			}
		}
	}}
	addr := startServer(t, Config{Dispatcher: d, Bounds: Bounds{WriteTimeout: 50 * time.Millisecond}})
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	body := `{"model":"draft","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", chatPath, len(body), body)
	assert.NilError(t, err)
	assert.ErrorIs(t, <-stopped, os.ErrDeadlineExceeded)
}
