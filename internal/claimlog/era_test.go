package claimlog

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/internal/adapter/memorylog"
)

// ranOrReplayed waits until a call is answered rather than refused.
func ranOrReplayed(t *testing.T, agent *Log, request Request, run func() Outcome) Result {
	t.Helper()
	var result Result
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		result = agent.Do(t.Context(), request, run)
		if result.Answer != nil {
			return poll.Success()
		}
		return poll.Continue("refused: %s", result.Reason)
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(10*time.Second))
	return result
}

// A call ran a second time after the log had come back from a copy that lacked its claim.
func TestCallDoesNotRunAgainWhenTheLogCameBackWithoutItsClaim(t *testing.T) {
	for lost := 1; lost <= 4; lost++ {
		t.Run(fmt.Sprint(lost, " records lost"), func(t *testing.T) {
			t.Parallel()
			log := newFaultyLog()
			var service service
			first, _ := start(t, log, "t1", "i1")
			second, _ := start(t, log, "t2", "i2")
			assert.Equal(t, first.Do(t.Context(), call, service.run).Ran, RanYes)
			fresh := Request{Account: "a", Key: "fresh"}
			assert.Equal(t, second.Do(t.Context(), fresh, service.run).Ran, RanYes)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if first.Await(t.Context(), fresh); second.KeyState("a", "k").Answer != nil {
					return poll.Success()
				}
				return poll.Continue("the answers are not read back")
			}, poll.WithDelay(time.Millisecond))
			log.Log.(*memorylog.Log).LoseNewest(lost)
			third, _ := start(t, log, "t3", "i3")
			for _, agent := range []*Log{third, second, first} {
				assert.Equal(t, string(ranOrReplayed(t, agent, call, service.run).Answer.Body), "run 1")
				assert.Equal(t, string(ranOrReplayed(t, agent, fresh, service.run).Answer.Body), "run 2")
			}
			assert.Equal(t, service.runs.Load(), int64(2))
			later := Request{Account: "a", Key: "later"}
			assert.Equal(t, string(ranOrReplayed(t, first, later, service.run).Answer.Body), "run 3")
			assert.Equal(t, string(ranOrReplayed(t, third, later, service.run).Answer.Body), "run 3")
		})
	}
}
