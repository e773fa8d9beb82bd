//go:build scenarios

package scenarios

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/pause"
)

// Sizes and times of a run. The grace period is soakGrace.
const (
	stopCallers   = 24
	stopTargetLag = 250 * time.Millisecond  // of answers to calls
	stopBodyTime  = 1200 * time.Millisecond // longest time that a caller takes to send a body
	stopMinWait   = 600 * time.Millisecond  // shortest deadline
	stopMaxWait   = 4 * time.Second         // longest deadline
	stopAgain     = 300 * time.Millisecond  // until the second SIGTERM
)

// TestPlannedStop stops one of several gateways while callers go on to use their connections
// to it until its process is gone.
func TestPlannedStop(t *testing.T) {
	seeds := []uint64{1, 2, 3}
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runPlannedStop(newSoak(t, seed))
		})
	}
}

func runPlannedStop(s *soak) {
	for _, target := range s.targets {
		target.Delay = stopTargetLag
	}
	g := s.gateways[0]
	var callers sync.WaitGroup
	for i := range stopCallers {
		random := rand.New(rand.NewPCG(s.seed, uint64(i)))
		callers.Go(func() { s.callUntilGone(g, i, random) })
	}
	process, err := s.processes.get(g.name)
	assert.NilError(s.t, err)
	pause.For(s.t.Context(), time.Duration(s.random.Int64N(int64(time.Second))))
	stopped := time.Now()
	assert.NilError(s.t, s.processes.signal(g.name, syscall.SIGTERM))
	pause.For(s.t.Context(), stopAgain)
	assert.NilError(s.t, s.processes.signal(g.name, syscall.SIGTERM))
	<-process.ended
	took := time.Since(stopped)
	assert.Check(s.t, took < soakGrace, "the process ended after %s", took)
	assert.Check(s.t, process.command.ProcessState.ExitCode() == 0, "%s", process.command.ProcessState)
	callers.Wait()
	s.checkStop(stopped)
}

// callUntilGone sends requests one after the other until connections are refused.
func (s *soak) callUntilGone(g *gatewayProcess, caller int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		got := s.sendSlowly(g, fmt.Sprintf("%d-%d-%d", s.seed, caller, n), client, random)
		if errors.Is(got.err, syscall.ECONNREFUSED) {
			return
		}
		s.mu.Lock()
		s.outcomes = append(s.outcomes, got)
		s.mu.Unlock()
		pause.For(s.t.Context(), time.Duration(random.Int64N(int64(stopTargetLag))))
	}
}

// slowBody is a body whose last byte comes late.
type slowBody struct {
	first io.Reader
	wait  time.Duration
	last  io.Reader
}

func (b *slowBody) Read(into []byte) (int, error) {
	if n, err := b.first.Read(into); err == nil {
		return n, nil
	}
	pause.For(context.Background(), b.wait)
	b.wait = 0
	return b.last.Read(into)
}

func (b *slowBody) Close() error { return nil }

func (s *soak) sendSlowly(g *gatewayProcess, id string, client *http.Client, random *rand.Rand) outcome {
	got := outcome{id: id, path: soakPaths[random.IntN(len(soakPaths))], gateway: g, started: time.Now(), processFaulty: true}
	body := &slowBody{first: strings.NewReader(id), last: strings.NewReader("!")}
	if random.IntN(2) == 0 {
		body.wait = time.Duration(random.Int64N(int64(stopBodyTime)))
	}
	deadline := stopMinWait + time.Duration(random.Int64N(int64(stopMaxWait-stopMinWait)))
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+g.address+got.path, body)
	if err != nil {
		got.err = err
		return got
	}
	request.ContentLength = int64(len(id) + 1)
	request.Host = "app.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Credential", "key-1")
	request.Header.Set("Deadline-Ms", fmt.Sprint((body.wait + deadline).Milliseconds()))
	answer, err := client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		got.status, got.body = answer.StatusCode, string(data)
	}
	got.err, got.took = err, time.Since(got.started)
	return got
}

// checkStop compares what callers got with what reached targets.
func (s *soak) checkStop(stopped time.Time) {
	ran := make(map[string]int)
	for _, target := range s.targets {
		for _, arrival := range target.Arrivals() {
			if arrival.Ran {
				ran[arrival.Header.Get("Attempt-Id")]++
			}
		}
	}
	counts := make(map[string]int)
	for _, o := range s.outcomes {
		late := o.started.Add(o.took).After(stopped)
		switch {
		case o.err != nil:
			assert.Check(s.t, ran[o.id] == 0, "%s %s ran and had no answer %s after the signal: %v", o.path, o.id, o.started.Add(o.took).Sub(stopped), o.err)
			counts["unread"]++
		case o.status == http.StatusServiceUnavailable:
			assert.Check(s.t, ran[o.id] == 0, "%s %s ran and was refused: %s", o.path, o.id, o.body)
			counts["refused"]++
		case o.status == http.StatusOK && late:
			counts["served late"]++
		}
		s.checkOutcome(o, ran[o.id])
	}
	s.t.Logf("%d requests: %v", len(s.outcomes), counts)
	assert.Check(s.t, counts["refused"] > 0 && counts["served late"] > 0, "%v", counts)
}
