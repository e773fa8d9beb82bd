package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/poison"
	"quetzalbend/internal/pause"
	"quetzalbend/platform/platformtest"
)

const (
	restSeconds   = "3"
	restTime      = 3 * time.Second
	restSettle    = 500 * time.Millisecond // after which the rule counts
	restArrivals  = 2                      // that may reach a target during a rest
	restLoadUnits = 30                     // requests of each kind
)

// assertRested checks what reached a target that rejects all. Each rejection asks for a
// rest.
func assertRested(t *testing.T, target *platformtest.Target) {
	t.Helper()
	arrivals := target.Arrivals()
	for i, asked := range arrivals {
		during := 0
		for _, later := range arrivals[i:] {
			if since := later.At.Sub(asked.At); since > restSettle && since < restTime {
				during++
			}
		}
		assert.Assert(t, during <= restArrivals, "%d reached %s during a rest", during, target.ID)
	}
}

// load sends requests of all kinds, that may and may not be repeated, for a little longer
// than a rest.
func (b *testbed) restLoad() (served int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i := range restLoadUnits {
		group.Go(func() {
			pause.For(b.t.Context(), time.Duration(i)*4*time.Second/restLoadUnits)
			for _, path := range []string{"/read/", "/once-twice/", "/stream/", "/final/stream/"} {
				if b.post(path, "prompt "+strconv.Itoa(i)+path).status == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return served
}

// Targets that asked for a rest looked idle and got most of the requests.
func TestTargetsThatAskForRestGetNoMoreRequestsUntilItsEnd(t *testing.T) {
	var targets []*platformtest.Target
	for i := range 4 {
		targets = append(targets, platformtest.NewTarget(t, "i-"+strconv.Itoa(i)))
	}
	b := newTestbed(t, targets...)
	targets[0].SetRest(restSeconds)
	targets[1].SetRest(restSeconds)
	served := b.restLoad()
	assertRested(t, targets[0])
	assertRested(t, targets[1])
	assert.Assert(t, served >= 4*restLoadUnits*9/10, "served %d of %d", served, 4*restLoadUnits)

	targets[0].SetRest("")
	before := ran(targets[0])
	b.wait("a target out of rest serves again", func() bool {
		b.get("/read/")
		return ran(targets[0]) > before
	})
}

// Requests to a service whose targets were all at rest were sent to them, and their callers
// told to come back too early.
func TestServiceAllAtRestIsRefusedAtOnceWithTheTimeThatIsLeft(t *testing.T) {
	one, two := platformtest.NewTarget(t, "i-1"), platformtest.NewTarget(t, "i-2")
	b := newTestbed(t, one, two)
	one.SetRest(restSeconds)
	two.SetRest(restSeconds)
	asked := time.Now()
	assert.Equal(t, b.get("/read/").status, http.StatusServiceUnavailable)
	for _, path := range []string{"/read/", "/once-twice/", "/stream/", "/final/stream/"} {
		before, sent := time.Now(), arrived(one, two)
		got := b.post(path, "prompt")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, arrived(one, two), sent)
		assert.Assert(t, time.Since(before) < 200*time.Millisecond)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		back := time.Now().Add(time.Duration(seconds * float64(time.Second)))
		assert.Assert(t, !back.Before(asked.Add(restTime-50*time.Millisecond)), "%s: %.2f s", path, seconds)
		assert.Assert(t, back.Before(asked.Add(restTime+time.Second)), "%s: %.2f s", path, seconds)
	}
}

// A rest was over for a target that had restarted under the same id.
func TestRestEndsWithTheTargetThatAskedForIt(t *testing.T) {
	one := platformtest.NewTarget(t, "i-1")
	b := newTestbed(t, one)
	one.SetRest(restSeconds)
	assert.Equal(t, b.get("/read/").status, http.StatusServiceUnavailable)
	one.SetRest("")
	b.store.PutJSON(t, "keyed.servers", "i-1", targetRecord(one, object{"born": 2}))
	restarted := time.Now()
	b.wait("the new incarnation serves", func() bool { return b.get("/read/").status == http.StatusOK })
	assert.Assert(t, time.Since(restarted) < 2*time.Second)
}

// A request that is refused for what it holds was told to come back when the rest ends.
func TestRefusedPartIsNotToldToComeBackAfterARest(t *testing.T) {
	one := platformtest.NewTarget(t, "i-1")
	b := newTestbed(t, one)
	one.SetRest(restSeconds)
	assert.Equal(t, b.get("/read/").status, http.StatusServiceUnavailable)
	for target := range uint64(2) {
		at := time.Now().Add(time.Duration(target)*2*time.Second - time.Minute)
		b.gateway.poison.table.RecordCrash([]poison.Loss{{Parts: []string{poisonPart}, Blamed: []string{poisonPart}}}, target, at)
	}
	got := b.prompt(poisonPart, 1)
	assert.Equal(t, got.body, "part_kills_targets\n")
}
