package settingssync

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	client "quetzalbend/internal/adapter/platform"
	"quetzalbend/internal/app/standin/platform"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/port"
)

const testTimeout = 20 * time.Second

// pointerTo returns a pointer to a copy of value.
func pointerTo[T any](value T) *T { return &value }

// testbed runs nodes against a platform stand-in.
type testbed struct {
	t        *testing.T
	platform *platform.Platform
	url      string
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	p := platform.New(platform.Config{AppendsPerSecond: 100_000})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return &testbed{t: t, platform: p, url: server.URL}
}

// config returns the configuration of a node, with short times.
func (b *testbed) config(name string) Config {
	return Config{
		Name:         name,
		Incarnation:  name + "-1",
		Log:          client.NewClient(client.Config{BaseURL: b.url, Node: name, Timeout: 5 * time.Second}),
		ReadWait:     100 * time.Millisecond,
		RetryDelay:   10 * time.Millisecond,
		PeerInterval: 20 * time.Millisecond,
	}
}

// start starts a node and returns it with a function that stops it.
func (b *testbed) start(cfg Config) (*Node, func()) {
	b.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	node := NewNode(cfg)
	var done sync.WaitGroup
	done.Go(func() { _ = node.Run(ctx) })
	stop := func() { cancel(); done.Wait() }
	b.t.Cleanup(stop)
	return node, stop
}

// startReady starts a node and waits until it has settings.
func (b *testbed) startReady(cfg Config) (*Node, func()) {
	b.t.Helper()
	node, stop := b.start(cfg)
	<-node.Ready()
	return node, stop
}

// put writes a path and returns the result.
func (b *testbed) put(node *Node, request WriteRequest) WriteOutcome {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	result, err := node.Put(ctx, request)
	assert.NilError(b.t, err)
	return result
}

// setRequest returns a request to set a path without a condition.
func setRequest(path, value string) WriteRequest {
	return WriteRequest{Path: path, Value: []byte(value), Author: "op"}
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(5*time.Millisecond))
}

// hasValue reports whether a node has a value at a path.
func hasValue(node *Node, path, value string) func() bool {
	return func() bool {
		snapshot := node.Snapshot()
		if snapshot == nil {
			return false
		}
		entry, ok := snapshot.Get(path)
		return ok && string(entry.Value) == value
	}
}

func TestAcceptedWriteIsInForceAtEveryNode(t *testing.T) {
	b := newTestbed(t)
	first, _ := b.startReady(b.config("e1"))
	second, _ := b.startReady(b.config("e2"))
	result := b.put(first, setRequest("/a", `{"x": 1}`))
	assert.Equal(t, result.Status, Accepted)
	assert.Equal(t, result.Offset, int64(0))
	eventually(t, "e2 follows", hasValue(second, "/a", `{"x":1}`))
}

func TestExactlyOneConcurrentWriterWins(t *testing.T) {
	b := newTestbed(t)
	first, _ := b.startReady(b.config("e1"))
	second, _ := b.startReady(b.config("e2"))
	base := b.put(first, setRequest("/a", `0`))
	var results [2]WriteOutcome
	var group sync.WaitGroup
	for i, node := range []*Node{first, second} {
		group.Go(func() {
			request := setRequest("/a", fmt.Sprint(i+1))
			request.IfVersion = pointerTo(base.Offset)
			results[i], _ = node.Put(context.Background(), request)
		})
	}
	group.Wait()
	won := 0
	for _, result := range results {
		if result.Status == Accepted {
			won++
		} else {
			assert.Equal(t, result.Verdict, settings.StaleVersion)
		}
	}
	assert.Equal(t, won, 1)
}

func TestOutcomeIsFoundInLogIfAnswerIsLost(t *testing.T) {
	b := newTestbed(t)
	node, _ := b.startReady(b.config("e1"))
	b.platform.SetFaults(platform.Faults{LoseAnswers: pointerTo(1)})
	result := b.put(node, setRequest("/a", `1`))
	assert.Equal(t, result.Status, Accepted)
	assert.Equal(t, b.platform.Log().Totals()[port.SettingsStream].Appends, int64(1))
}

func TestLateRepeatDoesNotRestoreOldValue(t *testing.T) {
	b := newTestbed(t)
	node, _ := b.startReady(b.config("e1"))
	b.platform.SetFaults(platform.Faults{LateAppendMS: pointerTo(int64(700))})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	result, err := node.Put(ctx, setRequest("/a", `"old"`))
	assert.NilError(t, err)
	assert.Equal(t, result.Status, Unknown)
	b.platform.SetFaults(platform.Faults{LateAppendMS: pointerTo(int64(0))})
	assert.Equal(t, b.put(node, setRequest("/a", `"new"`)).Status, Accepted)
	eventually(t, "the late record is appended", func() bool {
		outcome, err := node.Outcome(t.Context(), result.Operation)
		return err == nil && outcome.Verdict == settings.StaleVersion
	})
	assert.Assert(t, hasValue(node, "/a", `"new"`)())
}

func TestNoWriteIsAcceptedWhilePlatformIsDown(t *testing.T) {
	b := newTestbed(t)
	node, _ := b.startReady(b.config("e1"))
	b.platform.SetFaults(platform.Faults{Down: pointerTo(true)})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	result, err := node.Put(ctx, setRequest("/a", `1`))
	assert.NilError(t, err)
	assert.Equal(t, result.Status, NotAccepted)
	assert.Equal(t, node.Snapshot().Len(), 0)
}

func TestFreshNodeLoadsCheckpoint(t *testing.T) {
	b := newTestbed(t)
	cfg := b.config("e1")
	old, stop := b.startReady(cfg)
	for i := range 20 {
		b.put(old, setRequest(fmt.Sprintf("/p/%d", i%7), fmt.Sprint(i)))
	}
	b.put(old, WriteRequest{Path: "/p/3", Delete: true})
	assert.NilError(t, old.writeCheckpoint(t.Context()))
	last := b.put(old, setRequest("/q", `1`))
	b.platform.Log().ExpireBefore(port.SettingsStream, 21)
	stop()
	fresh, _ := b.startReady(b.config("e2"))
	assert.Equal(t, fresh.Snapshot().Offset(), last.Offset)
	assert.Equal(t, fresh.store.copy().Hash(), old.store.copy().Hash())
}

func TestCheckpointIsWrittenAtOnceIfLogHasNone(t *testing.T) {
	b := newTestbed(t)
	node, _ := b.startReady(b.config("e1"))
	b.put(node, setRequest("/a", `1`))
	b.put(node, setRequest("/b", `1`))
	b.platform.Log().ExpireBefore(port.SettingsStream, 2)
	eventually(t, "a checkpoint", func() bool { return node.counts.checkpoints.Count() > 0 })
	fresh, _ := b.startReady(b.config("e2"))
	assert.Assert(t, hasValue(fresh, "/a", `1`)())
}

func TestOutcomeOfWriteSkippedByDeltaIsInLog(t *testing.T) {
	b := newTestbed(t)
	first := writeAt(0)
	repeat := writeAt(1)
	for _, r := range []decodedRecord{first, repeat} {
		data, err := settings.EncodeRecord(r.record)
		assert.NilError(t, err)
		_, err = b.platform.Log().Append(t.Context(), port.SettingsStream, [][]byte{data})
		assert.NilError(t, err)
	}
	state := settings.NewState()
	_, err := state.Apply(first.offset, first.record)
	assert.NilError(t, err)
	node := NewNode(b.config("e1"))
	_, err = node.store.advance(state.DeltaFrom(settings.NoOffset))
	assert.NilError(t, err)
	_, _, err = node.store.apply([]decodedRecord{repeat})
	assert.NilError(t, err)
	outcome, err := node.Outcome(t.Context(), "op")
	assert.NilError(t, err)
	assert.Equal(t, outcome.Status, Accepted)
	assert.Equal(t, outcome.Offset, int64(0))
}
