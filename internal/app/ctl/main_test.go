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

// bench is an entry's administration API over a log in memory.
type bench struct {
	t    *testing.T
	url  string
	dir  string
	file string // of the token
}

func newBench(t *testing.T, peers ...settingssync.Peer) *bench {
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
	b := &bench{t: t, url: server.URL, dir: t.TempDir()}
	b.file = b.write("token", token+"\n")
	return b
}

func (b *bench) write(name, content string) string {
	b.t.Helper()
	path := filepath.Join(b.dir, name)
	assert.NilError(b.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// ctl runs the tool and checks its exit code. It returns all output.
func (b *bench) ctl(want program.ExitCode, args ...string) string {
	b.t.Helper()
	var out bytes.Buffer
	args = append([]string{"--server", b.url, "--token-file", b.file}, args...)
	code := Main(context.Background(), args, strings.NewReader(`{"state":"in"}`), &out, &out)
	assert.Equal(b.t, code, want, "%v: %s", args, out.String())
	return out.String()
}

func (b *bench) settings() string {
	return b.write("settings.json", fmt.Sprintf(`{
		"/teams/red/workloads/w": {"model":"m"},
		"/targets/t1": {"agent":"127.0.0.1:1","failure_domain":"a","serves":["m"],"team":"red"},
		"/domains/a": {"region":"north"},
		"/teams/red": {},
		"/teams/red/models/m": {"versions":["1"]},
		"/operators/red": {"token_sha256":%q,"subtree":"/teams/red"}}`, strings.Repeat("a", 64)))
}

func TestApplyWritesInAnOrderThatTheChecksAccept(t *testing.T) {
	b := newBench(t)
	file := b.settings()
	b.ctl(ExitDiffers, "diff", file)
	b.ctl(program.ExitOK, "apply", file)
	assert.Equal(t, b.ctl(program.ExitOK, "diff", file), "")
	assert.Assert(t, cmp.Contains(b.ctl(program.ExitOK, "list", "/teams"), "/teams/red/workloads/w"))

	gone := b.write("gone.json", `{"/teams/red/workloads/w":null,"/targets/t1":null,"/teams/red/models/m":null}`)
	b.ctl(program.ExitOK, "validate", gone)
	b.ctl(program.ExitOK, "apply", gone)
	b.ctl(ExitNotFound, "get", "/targets/t1")
	assert.Assert(t, cmp.Contains(b.ctl(program.ExitOK, "history", "/targets/t1"), "(deleted)"))
}

func TestDomainOutChangesOnlyTheState(t *testing.T) {
	b := newBench(t)
	b.ctl(program.ExitOK, "apply", b.settings())
	b.ctl(program.ExitOK, "domain", "out", "a")
	assert.Equal(t, b.ctl(program.ExitOK, "get", "/domains/a"), `{"region":"north","state":"out"}`+"\n")
	b.ctl(program.ExitOK, "target", "drain", "t1")
	b.ctl(ExitNotFound, "target", "drain", "t9")
	own := b.write("own.json", `{"/teams/red/targets/own": {"agent":"127.0.0.1:2","failure_domain":"a","serves":["m"],"state":"out"}}`)
	b.ctl(program.ExitOK, "apply", own)
	b.ctl(program.ExitOK, "target", "undrain", "own")
	b.ctl(program.ExitOK, "target", "drain", "own")
	status := b.ctl(program.ExitOK, "status")
	assert.Assert(t, cmp.Contains(status, "out (target is out)"))
	b.ctl(program.ExitOK, "domain", "in", "a")
	explained := b.ctl(program.ExitOK, "explain", "red", "--workload", "w")
	assert.Assert(t, cmp.Contains(explained, "no target that serves it may get new work"))
}

func TestExitCodeSaysWhatWentWrong(t *testing.T) {
	b := newBench(t)
	b.ctl(program.ExitOK, "put", "/domains/a", "-")
	b.ctl(ExitConflict, "put", "/domains/a", "-", "--if-absent")
	b.ctl(program.ExitOK, "put", "/domains/a", "-", "--if-version", "0")
	b.ctl(ExitConflict, "delete", "/domains/a", "--if-version", "0")
	b.ctl(ExitInvalid, "put", "/teams/a", "-")
	b.ctl(ExitInvalid, "validate", b.write("bad.json", `{"/domains/z":{"state":"up"}}`))
	b.ctl(ExitInvalid, "validate", b.write("cut.json", `{"/domains/z":`))
	b.ctl(ExitNotFound, "get", "/domains/z")
	b.ctl(program.ExitUsage, "get")
	b.ctl(program.ExitUsage)
	b.ctl(program.ExitUsage, "domain", "sideways", "a")
	b.ctl(program.ExitUsage, "get", "/domains/a", "/domains/b")
	b.ctl(program.ExitConfig, "--config", b.write("config.json", `{"server":"x"}`), "--check-config")
	b.ctl(program.ExitOK, "--check-config")
	b.ctl(program.ExitOK, "--version")
	b.ctl(program.ExitOK, "--help")
	b.file = b.write("wrong", "guess")
	b.ctl(ExitUnauthorized, "status")
	b.url = "http://127.0.0.1:1"
	b.ctl(ExitUnavailable, "put", "/domains/a", "-")
}

func TestWaitNamesTheNodesThatAreNotThereYet(t *testing.T) {
	b := newBench(t)
	b.ctl(program.ExitOK, "apply", "--wait", b.settings())
	assert.Assert(t, cmp.Contains(b.ctl(program.ExitOK, "wait"), "offset 5 in force"))
	b.ctl(ExitNotInForce, "wait", "6", "--timeout-ms", "150")

	b = newBench(t, settingssync.Peer{Name: "entry-2", Addr: "127.0.0.1:1"})
	b.ctl(program.ExitOK, "put", "/domains/a", "-")
	out := b.ctl(ExitNotInForce, "wait", "--timeout-ms", "150")
	assert.Assert(t, cmp.Contains(out, "entry-2"))
	assert.Assert(t, cmp.Contains(out, "never"))
	assert.Assert(t, cmp.Contains(out, "not in force at 1 or more of 2 nodes"))
	assert.Assert(t, !strings.Contains(out, "entry-1"), out)
}

func TestCertificatesOfEntriesAreChecked(t *testing.T) {
	b := newBench(t)
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	b.url = server.URL
	b.ctl(ExitUnavailable, "status")
	der := server.Certificate().Raw
	authority := b.write("ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})))
	out := b.ctl(ExitUnavailable, "--ca-file", authority, "status")
	assert.Assert(t, cmp.Contains(out, "404"), out)
	b.ctl(program.ExitConfig, "--ca-file", b.file, "status")
}

func TestOutcomeOfAnEarlierWrite(t *testing.T) {
	b := newBench(t)
	b.ctl(program.ExitOK, "put", "/domains/a", "-")
	history := strings.Fields(b.ctl(program.ExitOK, "history", "/domains/a"))
	operation := history[len(history)-2]
	assert.Assert(t, cmp.Contains(b.ctl(program.ExitOK, "outcome", operation), "accepted"))
	b.ctl(ExitUnknown, "outcome", "never-sent")
}
