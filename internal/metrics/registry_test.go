package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"quetzalbend/internal/core/schema"
)

var key = Key{Team: "red", Class: schema.Interactive}

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func newTestRegistry() (*Registry, *fakeClock) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	return newRegistry(c.Now), c
}

func TestTextGivesQuantilesForTeamAndClass(t *testing.T) {
	r, _ := newTestRegistry()
	for i := 1; i <= 100; i++ {
		r.Observe(FirstToken, key, time.Duration(i)*time.Millisecond)
	}
	r.Refused("over_limit", key)
	r.Refused("over_limit", key)
	r.Counter("attempts.not-run_total").Inc(1)
	text := string(r.Text())
	assert.Check(t, cmp.Contains(text, "quetzalbend_attempts_not_run_total 1\n"))
	assert.Check(t, cmp.Contains(text, "# TYPE quetzalbend_first_token_seconds summary\n"))
	assert.Check(t, cmp.Contains(text, `quetzalbend_first_token_seconds{team="red",class="interactive",quantile="0.5"} 0.0501`))
	assert.Check(t, cmp.Contains(text, `quetzalbend_first_token_seconds_count{team="red",class="interactive"} 100`))
	assert.Check(t, cmp.Contains(text, `quetzalbend_first_token_seconds_sum{team="red",class="interactive"} 5.05`))
	assert.Check(t, cmp.Contains(text, `quetzalbend_refusals_total{team="red",class="interactive",reason="over_limit"} 2`))
}

func TestQuantilesCoverLastCompleteWindow(t *testing.T) {
	r, c := newTestRegistry()
	p50 := func() time.Duration {
		values, _, _ := r.distribution(Latency, key).quantiles([]float64{50}, c.now)
		return values[0].Round(10 * time.Millisecond)
	}
	r.Observe(Latency, key, time.Second)
	assert.Equal(t, p50(), time.Second)
	c.now = c.now.Add(windowLength)
	r.Observe(Latency, key, 100*time.Millisecond)
	assert.Equal(t, p50(), time.Second)
	c.now = c.now.Add(windowLength)
	assert.Equal(t, p50(), 100*time.Millisecond)
	c.now = c.now.Add(5 * windowLength)
	assert.Equal(t, p50(), time.Duration(0))
}

func TestNumberOfSeriesIsBounded(t *testing.T) {
	r, _ := newTestRegistry()
	for i := range 45_000 {
		other := Key{Team: fmt.Sprintf("team-%d", i), Class: schema.Batch}
		r.Observe(Latency, other, time.Millisecond)
		r.Refused(fmt.Sprintf("reason-%d", i%1000), other)
	}
	var names int
	r.metrics.Each(func(string, any) { names++ })
	assert.Assert(t, names <= (MaxTeams+1)*(1+MaxReasons+1), "%d names", names)
	assert.Assert(t, cmp.Contains(string(r.Text()), `request_duration_seconds_count{team="other",class="batch"} 44744`))
}

func TestConcurrentRecordingLosesNothing(t *testing.T) {
	r := New()
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				r.Observe(Latency, key, time.Millisecond)
				r.Refused("x", key)
			}
		})
	}
	group.Wait()
	recorder := httptest.NewRecorder()
	r.Handler().ServeHTTP(recorder, nil)
	text := recorder.Body.String()
	assert.Check(t, strings.Contains(text, `quetzalbend_request_duration_seconds_count{team="red",class="interactive"} 8000`))
	assert.Check(t, strings.Contains(text, `reason="x"} 8000`))
	assert.Check(t, strings.Contains(text, "quetzalbend_process_memory_bytes "))
}

func BenchmarkObserve(b *testing.B) {
	r := New()
	b.ReportAllocs()
	for b.Loop() {
		r.Observe(Latency, key, 37*time.Millisecond)
	}
}
