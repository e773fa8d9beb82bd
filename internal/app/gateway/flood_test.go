package gateway

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/memory"
	"quetzalbend/platform/platformtest"
)

const (
	floodTargets  = 16
	floodTime     = 1500 * time.Millisecond // until the callers' deadline
	testVMMemory  = 256 << 20               // bytes that a process may hold
	smallVMMemory = 48 << 20                // bytes
)

// flood is a number of calls to targets that send much and stall.
type flood struct {
	bed     *testbed
	targets []*platformtest.Target
	calls   int
	running sync.WaitGroup

	mu      sync.Mutex
	replies []floodReply
}

// floodReply is what the caller of a request received.
type floodReply struct {
	reply
	request string
}

// newFlood makes faulty targets, and a sound one that serves a service of its own under
// /sound/.
func newFlood(t *testing.T, behavior platformtest.Behavior, calls int, vmMemory int64) (*flood, *platformtest.Target) {
	t.Helper()
	f := &flood{calls: calls}
	queue := make([]platformtest.Behavior, calls)
	for i := range queue {
		queue[i] = behavior
	}
	for i := range floodTargets {
		f.targets = append(f.targets, platformtest.NewTarget(t, fmt.Sprint("i-", i), queue...))
	}
	f.bed = newTestbed(t, f.targets...)
	f.bed.gateway.memory = memory.NewBudget(vmMemory)
	sound := platformtest.NewTarget(t, "i-sound")
	settings := testSettings(2,
		testRoute("/sound/", "non_idempotent", object{"maxAttempts": 1, "service": "sound"}),
		testRoute("/sound-read/", "idempotent", object{"service": "sound"}))
	settings["services"] = []object{{"name": "app", "maxConnections": 100}, {"name": "sound", "maxConnections": 100}}
	settings["limits"] = object{"maxHeaderBytes": 16384, "maxBodyBytes": 2 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	f.bed.store.PutJSON(t, "keyed.servers", sound.ID, targetRecord(sound, object{"service": "sound"}))
	f.bed.store.PutJSON(t, "keyed.op", "config", settings)
	f.bed.wait("the sound target is known", func() bool {
		view := f.bed.gateway.state.View()
		return view.Settings.Version == 2 && len(view.Targets["sound"]) == 1 && len(view.Targets["app"]) == floodTargets
	})
	return f, sound
}

// start makes all calls at once.
func (f *flood) start(path string) {
	f.running.Add(f.calls)
	for range f.calls {
		request := f.bed.request(f.bed.t.Context(), http.MethodPost, path, "prompt")
		request.Header.Set("Deadline-Ms", fmt.Sprint(floodTime.Milliseconds()))
		go func() {
			defer f.running.Done()
			got := f.bed.do(request)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.replies = append(f.replies, floodReply{got, request.Header.Get("Attempt-Id")})
		}()
	}
}

func (f *flood) ended() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.replies) == f.calls
}

// peakHeap waits until all calls have ended and returns the most that the process has held
// meanwhile, without garbage.
func (f *flood) peakHeap() uint64 {
	var peak uint64
	f.bed.wait("all calls have ended", func() bool {
		var now runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&now)
		peak = max(peak, now.HeapAlloc)
		return f.ended()
	})
	return peak
}

// assertTrueRefusals checks that every call has an answer and that none was refused as not
// run that a target has run.
func (f *flood) assertTrueRefusals() {
	f.bed.t.Helper()
	run := make(map[string]bool)
	for _, target := range f.targets {
		for _, arrival := range target.Arrivals() {
			run[arrival.Header.Get("Attempt-Id")] = true
		}
	}
	for _, got := range f.replies {
		assert.NilError(f.bed.t, got.err)
		refused := got.status == http.StatusServiceUnavailable
		assert.Assert(f.bed.t, !refused || !run[got.request], "%s was refused, but a target has run it", got.request)
	}
}

func TestManyAnswersWithoutEndStayWithinTheMemoryOfTheVM(t *testing.T) {
	for name, test := range map[string]struct {
		path     string
		behavior platformtest.Behavior
		calls    int
		memory   int64
	}{
		"body without framing":         {"/once/", platformtest.StallInBody, 90, testVMMemory},
		"body with a length of 1 GiB":  {"/once/", platformtest.StallInLongBody, 90, testVMMemory},
		"body that may be sent again":  {"/read/", platformtest.StallInBody, 90, testVMMemory},
		"body that goes on to its end": {"/once/", platformtest.EndlessBody, 90, testVMMemory},
		"event":                        {"/final/stream/", platformtest.StallInEvent, 400, 2 * smallVMMemory},
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := newFlood(t, test.behavior, test.calls, test.memory)
			f.start(test.path)
			peak := f.peakHeap()
			assert.Assert(t, peak < uint64(test.memory), "%d MiB are held, the VM has %d", peak>>20, test.memory>>20)
			f.assertTrueRefusals()
			f.bed.wait("the memory is free again", func() bool { return f.bed.gateway.memory.Used() == 0 })
		})
	}
}

func TestHeadsOfAllAnswersTogetherStayWithinTheMemoryOfTheVM(t *testing.T) {
	const calls, vmMemory = 400, 4 << 20
	f, _ := newFlood(t, platformtest.StallInHead, calls, vmMemory)
	f.start("/once/")
	f.bed.wait("all calls have ended", f.ended)
	waiting := ran(f.targets...)
	assert.Assert(t, waiting > 0)
	assert.Assert(t, waiting*maxAnswerHeadBytes < vmMemory, "%d targets may send a head of %d bytes each", waiting, maxAnswerHeadBytes)
	f.assertTrueRefusals()
}

func TestOtherCallersAreServedWhileAnswersWithoutEndFillTheMemory(t *testing.T) {
	f, sound := newFlood(t, platformtest.StallInBody, 90, testVMMemory)
	f.start("/once/")
	f.bed.wait("the memory is nearly used up", func() bool {
		return f.bed.gateway.memory.Used() > testVMMemory/4
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	served := 0
	for ; !f.ended(); served++ {
		got := f.bed.do(f.bed.request(ctx, http.MethodPost, "/sound/", "form"))
		assert.Equal(t, got.status, http.StatusOK, got.body)
		assert.Equal(t, got.body, "answer of "+sound.ID)
	}
	assert.Assert(t, served > 0)
}

func TestOneTargetWhoseAnswersDoNotEndLeavesMemoryToLargeAnswersOfOthers(t *testing.T) {
	f, sound := newFlood(t, platformtest.StallInBody, 90, testVMMemory)
	for _, target := range f.targets[1:] {
		f.bed.store.PutJSON(t, "keyed.servers", target.ID, targetRecord(target, object{"state": "draining", "sequence": 2}))
	}
	f.bed.wait("one target is left", func() bool { return len(f.bed.gateway.state.View().Targets["app"]) == 1 })
	f.start("/once/")
	f.bed.wait("the memory is half used", func() bool {
		return f.bed.gateway.memory.Used() > testVMMemory/8
	})
	const answers = 20
	for range answers {
		sound.QueueBehaviors(platformtest.LargeAnswer)
		got := f.bed.do(f.bed.request(t.Context(), http.MethodPost, "/sound/", strings.Repeat("x", 1<<20)))
		assert.Equal(t, got.status, http.StatusOK, got.body[:min(len(got.body), 100)])
		assert.Equal(t, len(got.body), platformtest.LargeAnswerBytes)
	}
	assert.Assert(t, !f.ended(), "the memory was free again before the answers came")
}

func TestAnswerThatFindsNoMemoryIsUnknownAndNoSignOfACrash(t *testing.T) {
	const rounds = 8
	f, sound := newFlood(t, platformtest.Serve, 0, 1<<20)
	for range rounds {
		sound.QueueBehaviors(platformtest.LargeAnswer)
		got := f.bed.do(f.bed.request(t.Context(), http.MethodPost, "/sound/", "form"))
		assert.Equal(t, got.status, http.StatusBadGateway, got.body)
	}
	got := f.bed.do(f.bed.request(t.Context(), http.MethodPost, "/sound/", "form"))
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, ran(sound), rounds+1)
	f.bed.wait("the memory is free again", func() bool { return f.bed.gateway.memory.Used() == 0 })
}

func TestEventReaderHoldsALargeEventOnlyUntilTheNext(t *testing.T) {
	budget := memory.NewBudget(0)
	large := "id: 1\ndata: " + strings.Repeat("x", maxFillerBytes/2) + "\n\n"
	reader := newEventReader(strings.NewReader(large+streamEvents(2, 2)), budget.Reserve())
	got, err := reader.next()
	assert.NilError(t, err)
	assert.Equal(t, string(got.raw), large)
	assert.Assert(t, budget.Used() >= int64(len(large)) && budget.Used() <= maxFillerBytes)
	got, err = reader.next()
	assert.NilError(t, err)
	assert.Equal(t, string(got.raw), streamEvents(2, 2))
	assert.Assert(t, budget.Used() <= keptEventBytes)
}
