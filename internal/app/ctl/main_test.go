package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"quetzalbend/internal/adapter/adminhttp"
	"quetzalbend/internal/adapter/memorylog"
	"quetzalbend/internal/program"
	"quetzalbend/internal/settingssync"
)

const token = "root-token"

// fixture serves an entry's administration API that is backed by an in-memory
// log.
type fixture struct {
	t         *testing.T
	url       string
	dir       string
	tokenFile string
}

func newFixture(t *testing.T, peers ...settingssync.Peer) *fixture {
	t.Helper()
	node := settingssync.NewNode(settingssync.Config{
		Name: "entry-1", Incarnation: "1", Log: memorylog.New(memorylog.Retention{}), ReadWait: 50 * time.Millisecond,
		Peers: peers,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = node.Run(ctx) })
	<-node.Ready()
	hash := sha256.Sum256([]byte(token))
	server := httptest.NewServer(adminhttp.NewHandler(adminhttp.Config{
		Node: "entry-1", Settings: node, BootstrapOperatorTokenSHA256: hex.EncodeToString(hash[:]),
	}))
	t.Cleanup(func() {
		server.Close()
		cancel()
		done.Wait()
	})
	f := &fixture{t: t, url: server.URL, dir: t.TempDir()}
	f.tokenFile = f.write("token", token+"\n")
	return f
}

func (f *fixture) write(name, content string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	assert.NilError(f.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// ctl runs the tool and checks its exit code. It returns standard output and
// standard error together.
func (f *fixture) ctl(want program.ExitCode, args ...string) string {
	f.t.Helper()
	var out bytes.Buffer
	args = append([]string{"--server", f.url, "--token-file", f.tokenFile}, args...)
	code := Main(context.Background(), args, strings.NewReader(`{"state":"in"}`), &out, &out)
	assert.Equal(f.t, code, want, "%v: %s", args, out.String())
	return out.String()
}

func (f *fixture) settings() string {
	return f.write("settings.json", fmt.Sprintf(`{
		"/teams/red/workloads/w": {"model":"m"},
		"/targets/t1": {"agent":"127.0.0.1:1","failure_domain":"a","serves":["m"],"team":"red"},
		"/domains/a": {"region":"north"},
		"/teams/red": {},
		"/teams/red/models/m": {"versions":["1"]},
		"/operators/red": {"token_sha256":%q,"subtree":"/teams/red"}}`, strings.Repeat("a", 64)))
}

func TestApplyWritesInAnOrderThatTheChecksAccept(t *testing.T) {
	f := newFixture(t)
	file := f.settings()
	f.ctl(ExitDiffers, "diff", file)
	f.ctl(program.ExitOK, "apply", file)
	assert.Equal(t, f.ctl(program.ExitOK, "diff", file), "")
	assert.Assert(t, cmp.Contains(f.ctl(program.ExitOK, "list", "/teams"), "/teams/red/workloads/w"))

	deletions := f.write("gone.json", `{"/teams/red/workloads/w":null,"/targets/t1":null,"/teams/red/models/m":null}`)
	f.ctl(program.ExitOK, "validate", deletions)
	f.ctl(program.ExitOK, "apply", deletions)
	f.ctl(ExitNotFound, "get", "/targets/t1")
	assert.Assert(t, cmp.Contains(f.ctl(program.ExitOK, "history", "/targets/t1"), "(deleted)"))
}

func TestDomainOutChangesOnlyTheState(t *testing.T) {
	f := newFixture(t)
	f.ctl(program.ExitOK, "apply", f.settings())
	f.ctl(program.ExitOK, "domain", "out", "a")
	assert.Equal(t, f.ctl(program.ExitOK, "get", "/domains/a"), `{"region":"north","state":"out"}`+"\n")
	f.ctl(program.ExitOK, "target", "drain", "t1")
	f.ctl(ExitNotFound, "target", "drain", "t9")
	teamTarget := f.write("own.json", `{"/teams/red/targets/own": {"agent":"127.0.0.1:2","failure_domain":"a","serves":["m"],"state":"out"}}`)
	f.ctl(program.ExitOK, "apply", teamTarget)
	f.ctl(program.ExitOK, "target", "undrain", "own")
	f.ctl(program.ExitOK, "target", "drain", "own")
	status := f.ctl(program.ExitOK, "status")
	assert.Assert(t, cmp.Contains(status, "out (target is out)"))
	f.ctl(program.ExitOK, "domain", "in", "a")
	explained := f.ctl(program.ExitOK, "explain", "red", "--workload", "w")
	assert.Assert(t, cmp.Contains(explained, "no target that serves it may get new work"))
}

func TestExitCodeIdentifiesFailure(t *testing.T) {
	f := newFixture(t)
	f.ctl(program.ExitOK, "put", "/domains/a", "-")
	f.ctl(ExitConflict, "put", "/domains/a", "-", "--if-absent")
	f.ctl(program.ExitOK, "put", "/domains/a", "-", "--if-version", "0")
	f.ctl(ExitConflict, "delete", "/domains/a", "--if-version", "0")
	f.ctl(ExitInvalid, "put", "/teams/a", "-")
	f.ctl(ExitInvalid, "validate", f.write("bad.json", `{"/domains/z":{"state":"up"}}`))
	f.ctl(ExitInvalid, "validate", f.write("cut.json", `{"/domains/z":`))
	f.ctl(ExitNotFound, "get", "/domains/z")
	f.ctl(program.ExitUsage, "get")
	f.ctl(program.ExitUsage)
	f.ctl(program.ExitUsage, "domain", "sideways", "a")
	f.ctl(program.ExitUsage, "get", "/domains/a", "/domains/b")
	f.ctl(program.ExitConfig, "--config", f.write("config.json", `{"server":"x"}`), "--check-config")
	f.ctl(program.ExitOK, "--check-config")
	f.ctl(program.ExitOK, "--version")
	f.ctl(program.ExitOK, "--help")
	f.tokenFile = f.write("wrong", "guess")
	f.ctl(ExitUnauthorized, "status")
	f.url = "http://127.0.0.1:1"
	f.ctl(ExitUnavailable, "put", "/domains/a", "-")
}

func TestWaitNamesNodesBehindTheOffset(t *testing.T) {
	f := newFixture(t)
	f.ctl(program.ExitOK, "apply", "--wait", f.settings())
	assert.Assert(t, cmp.Contains(f.ctl(program.ExitOK, "wait"), "offset 5 in force"))
	f.ctl(ExitNotInForce, "wait", "6", "--timeout-ms", "150")

	f = newFixture(t, settingssync.Peer{Name: "entry-2", Addr: "127.0.0.1:1"})
	f.ctl(program.ExitOK, "put", "/domains/a", "-")
	out := f.ctl(ExitNotInForce, "wait", "--timeout-ms", "150")
	assert.Assert(t, cmp.Contains(out, "entry-2"))
	assert.Assert(t, cmp.Contains(out, "never"))
	assert.Assert(t, cmp.Contains(out, "not in force at 1 or more of 2 nodes"))
	assert.Assert(t, !strings.Contains(out, "entry-1"), out)
}

func TestEntryCertificatesAreVerified(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	f.url = server.URL
	f.ctl(ExitUnavailable, "status")
	der := server.Certificate().Raw
	caFile := f.write("ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})))
	out := f.ctl(ExitUnavailable, "--ca-file", caFile, "status")
	assert.Assert(t, cmp.Contains(out, "404"), out)
	f.ctl(program.ExitConfig, "--ca-file", f.tokenFile, "status")
}

func TestOutcomeOfAnEarlierWrite(t *testing.T) {
	f := newFixture(t)
	f.ctl(program.ExitOK, "put", "/domains/a", "-")
	history := strings.Fields(f.ctl(program.ExitOK, "history", "/domains/a"))
	operation := history[len(history)-2]
	assert.Assert(t, cmp.Contains(f.ctl(program.ExitOK, "outcome", operation), "accepted"))
	f.ctl(ExitUnknown, "outcome", "never-sent")
}
