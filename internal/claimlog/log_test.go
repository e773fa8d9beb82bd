package claimlog

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/internal/adapter/memorylog"
	client "quetzalbend/internal/adapter/platform"
	"quetzalbend/internal/app/standin/platform"
	"quetzalbend/internal/core/claims"
	"quetzalbend/internal/port"
)

// faultyLog is a log in which a test can inject faults.
type faultyLog struct {
	port.Log
	lock          sync.Mutex
	readErr       error
	appendRefused error // error of appends that have no effect
	answerLost    error // error of appends that have taken effect
	appendIgnored bool  // appends have no effect, but their error does not say so
}

func (f *faultyLog) set(change func(*faultyLog)) {
	f.lock.Lock()
	defer f.lock.Unlock()
	change(f)
}

func (f *faultyLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	f.lock.Lock()
	appendRefused, answerLost, appendIgnored := f.appendRefused, f.answerLost, f.appendIgnored
	f.lock.Unlock()
	if appendRefused != nil {
		return 0, appendRefused
	}
	if appendIgnored {
		return 0, errors.New("no answer")
	}
	offset, err := f.Log.Append(ctx, stream, records)
	if answerLost != nil {
		return 0, answerLost
	}
	return offset, err
}

func (f *faultyLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (port.Page, error) {
	f.lock.Lock()
	err := f.readErr
	f.lock.Unlock()
	if err != nil {
		return port.Page{}, err
	}
	return f.Log.Read(ctx, stream, from, limit, min(wait, 20*time.Millisecond))
}

func newFaultyLog() *faultyLog { return &faultyLog{Log: memorylog.New(memorylog.Retention{})} }

// start starts the Log of one agent, which runs until the test ends or stop is
// called, and waits until it is available.
func start(t testing.TB, log port.Log, target, incarnation string) (*Log, func()) {
	t.Helper()
	l := New(Config{
		Log: log, Stream: "claims.x", Target: target, Incarnation: incarnation,
		AppendInterval: time.Millisecond, ClaimTimeout: 300 * time.Millisecond,
		Window: func() time.Duration { return time.Hour },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = l.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.Available() {
			return poll.Success()
		}
		return poll.Continue("not caught up")
	}, poll.WithDelay(time.Millisecond))
	return l, stop
}

// service is a service that counts its runs.
type service struct{ runs atomic.Int64 }

func (s *service) run() Outcome {
	return Outcome{Answer: &claims.Answer{Status: 200, Body: []byte(fmt.Sprint("run ", s.runs.Add(1)))}}
}

var call = Request{Account: "a", Key: "k"}

func TestRepeatsGetTheSameAnswerFromEveryAgent(t *testing.T) {
	log := newFaultyLog()
	var service service
	first, stop := start(t, log, "t1", "i1")
	second, _ := start(t, log, "t2", "i2")
	var group sync.WaitGroup
	for i := range 20 {
		agent := []*Log{first, second}[i%2]
		group.Go(func() {
			result := agent.Do(t.Context(), call, service.run)
			assert.Check(t, result.Answer != nil && string(result.Answer.Body) == "run 1", "%+v", result)
		})
	}
	group.Wait()
	stop()
	third, _ := start(t, log, "t3", "i3")
	result := third.Do(t.Context(), call, service.run)
	assert.Equal(t, string(result.Answer.Body), "run 1")
	assert.Assert(t, result.Replayed)
	assert.Equal(t, service.runs.Load(), int64(1))

	reused := call
	reused.Fingerprint = claims.FingerprintOf("POST", "/", []byte("another"))
	assert.DeepEqual(t, third.Do(t.Context(), reused, service.run), notRun(KeyReused))
	other := call
	other.Account = "b"
	assert.Equal(t, string(third.Do(t.Context(), other, service.run).Answer.Body), "run 2")
}

func TestCallRunsOnceIfAnswersToAppendsAreLost(t *testing.T) {
	log := newFaultyLog()
	var service service
	agent, _ := start(t, log, "t1", "i1")
	log.set(func(f *faultyLog) { f.answerLost = errors.New("answer lost") })
	assert.Equal(t, string(agent.Do(t.Context(), call, service.run).Answer.Body), "run 1")
	log.set(func(f *faultyLog) { f.answerLost = nil })
	other, _ := start(t, log, "t2", "i2")
	assert.Equal(t, string(other.Do(t.Context(), call, service.run).Answer.Body), "run 1")
	assert.Equal(t, service.runs.Load(), int64(1))
}

func TestOutageRefusesNewKeysAndReplaysOldOnes(t *testing.T) {
	log := newFaultyLog()
	var service service
	agent, _ := start(t, log, "t1", "i1")
	assert.Equal(t, agent.Do(t.Context(), call, service.run).Ran, RanYes)
	log.set(func(f *faultyLog) {
		f.readErr = errors.New("down")
		f.appendRefused = errors.Wrap(port.ErrNotAppended, "down")
	})
	fresh := Request{Account: "a", Key: "fresh"}
	assert.DeepEqual(t, agent.Do(t.Context(), fresh, service.run), notRun(Unavailable))
	assert.Assert(t, agent.Do(t.Context(), call, service.run).Replayed)
	log.set(func(f *faultyLog) { f.readErr, f.appendRefused = nil, nil })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if agent.Do(t.Context(), fresh, service.run).Ran == RanYes {
			return poll.Success()
		}
		return poll.Continue("refused")
	}, poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, service.runs.Load(), int64(2))
}

func TestClaimNotDecidedInTimeNeverRuns(t *testing.T) {
	log := newFaultyLog()
	var service service
	agent, _ := start(t, log, "t1", "i1")
	log.set(func(f *faultyLog) { f.appendIgnored = true })
	result := agent.Do(t.Context(), call, service.run)
	assert.Equal(t, result.Ran, RanNo)
	log.set(func(f *faultyLog) { f.appendIgnored = false })
	late, err := claims.Batch{
		Target: "t1", Incarnation: "i1",
		Ops: []claims.Op{{Kind: claims.KindClaim, Key: claims.KeyOf("a", "k"), Serial: 1}},
	}.Encode()
	assert.NilError(t, err)
	_, err = log.Append(t.Context(), "claims.x", [][]byte{late})
	assert.NilError(t, err)
	other, _ := start(t, log, "t2", "i2")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if other.Do(ctx, call, service.run).Ran == RanYes {
			return poll.Success()
		}
		return poll.Continue("the late claim still holds the key")
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, service.runs.Load(), int64(1))
}

func TestCallWithoutAnswerHasUnknownOutcomeAndNeverRunsAgain(t *testing.T) {
	log := newFaultyLog()
	agent, stop := start(t, log, "t1", "i1")
	started := make(chan struct{})
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	go agent.Do(context.Background(), call, func() Outcome {
		close(started)
		<-hold
		return Outcome{}
	})
	<-started
	stop() // simulates a crash: nothing more is appended
	var service service
	next, _ := start(t, log, "t1", "i2")
	result := next.Do(t.Context(), call, service.run)
	assert.DeepEqual(t, result, Result{Reason: OutcomeUnknown})
	assert.Equal(t, service.runs.Load(), int64(0))
}

func TestAnsweredRequestsLeaveNoWaiters(t *testing.T) {
	agent, _ := start(t, newFaultyLog(), "t1", "i1")
	var service service
	assert.Equal(t, agent.Do(t.Context(), call, service.run).Ran, RanYes)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		agent.lock.Lock()
		defer agent.lock.Unlock()
		if agent.claimant.Replica().Lookup(claims.KeyOf("a", "k")).Phase == claims.Answered {
			return poll.Success()
		}
		return poll.Continue("the answer is not recorded")
	}, poll.WithDelay(time.Millisecond))
	assert.Assert(t, agent.Do(t.Context(), call, service.run).Replayed)
	agent.lock.Lock()
	defer agent.lock.Unlock()
	assert.Equal(t, len(agent.waiters), 0)
}

func TestCallThatWasNotSentCanRunLater(t *testing.T) {
	log := newFaultyLog()
	agent, _ := start(t, log, "t1", "i1")
	result := agent.Do(t.Context(), call, func() Outcome { return Outcome{NotSent: true} })
	assert.DeepEqual(t, result, notRun(NotSent))
	var service service
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if agent.Do(t.Context(), call, service.run).Ran == RanYes {
			return poll.Success()
		}
		return poll.Continue("the key is still held")
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, service.runs.Load(), int64(1))
}

// BenchmarkClaims measures the claims per second of one agent with many
// concurrent callers at the default append interval, and the appends per
// second.
func BenchmarkClaims(b *testing.B) {
	log := newFaultyLog()
	agent := New(Config{
		Log: log, Stream: "claims.x", Target: "t1", Incarnation: "i1",
		Window: func() time.Duration { return time.Hour },
	})
	go func() { _ = agent.Run(b.Context()) }()
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		if agent.Available() {
			return poll.Success()
		}
		return poll.Continue("not caught up")
	}, poll.WithDelay(time.Millisecond))
	measureClaims(b, []*Log{agent})
}

// BenchmarkClaimsOverPlatform measures the same for several agents that share
// the platform stand-in at its default append rate.
func BenchmarkClaimsOverPlatform(b *testing.B) {
	for _, agents := range []int{1, 3, 12} {
		b.Run(fmt.Sprint(agents, "agents"), func(b *testing.B) {
			server := httptest.NewServer(platform.New(platform.Config{}).Handler())
			defer server.Close()
			logs := make([]*Log, agents)
			for i := range logs {
				logs[i] = New(Config{
					Log:    client.NewClient(client.Config{BaseURL: server.URL, Node: fmt.Sprint("n", i)}),
					Stream: "claims.x", Target: fmt.Sprint("t", i), Incarnation: fmt.Sprint("i", i),
					Window: func() time.Duration { return time.Hour },
				})
				go func() { _ = logs[i].Run(b.Context()) }()
				poll.WaitOn(b, func(poll.LogT) poll.Result {
					if logs[i].Available() {
						return poll.Success()
					}
					return poll.Continue("not caught up")
				}, poll.WithDelay(time.Millisecond))
			}
			measureClaims(b, logs)
		})
	}
}

// measureClaims sends requests with new keys to the agents in turn and reports
// the rates.
func measureClaims(b *testing.B, logs []*Log) {
	b.Helper()
	var service service
	var serial, refused atomic.Int64
	b.SetParallelism(64)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			n := serial.Add(1)
			request := Request{Account: "a", Key: fmt.Sprint(n)}
			if logs[int(n)%len(logs)].Do(b.Context(), request, service.run).Ran != RanYes {
				refused.Add(1)
			}
		}
	})
	b.StopTimer()
	var appends int64
	for _, log := range logs {
		count, _ := log.Counts()
		appends += count
	}
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64(service.runs.Load())/seconds, "claims/s")
	b.ReportMetric(float64(appends)/seconds, "appends/s")
	b.ReportMetric(float64(refused.Load())/float64(b.N), "refused/op")
}
