package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/schema"
)

func TestBatchWaitsWhileTheTeamIsAheadOfItsPace(t *testing.T) {
	start := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	credits := &schema.Credits{Tokens: 360_000, AsOf: start.Format(time.RFC3339), Expires: start.Add(time.Hour).Format(time.RFC3339)}
	l := New(Config{})
	var batch, interactive float64
	for second := range 3600 {
		now := start.Add(time.Duration(second) * time.Second)
		// 40 interactive tokens a second, and as much batch work as is admitted.
		grant, refusal := l.Admit(now, Subject{}, Subject{}, CreditsSubject("t", credits, schema.Interactive, now))
		assert.Assert(t, refusal == nil)
		grant.Release(now, 40)
		interactive += 40
		for range 50 {
			grant, refusal := l.Admit(now, Subject{}, Subject{}, CreditsSubject("t", credits, schema.Batch, now))
			if refusal != nil {
				assert.Equal(t, refusal.Code, CodeCreditsPace)
				break
			}
			grant.Release(now, 10)
			batch += 10
		}
	}
	assert.Equal(t, interactive, 144_000.0)
	used := batch + interactive
	assert.Assert(t, used <= 361_000 && used >= 355_000, "%g tokens used", used)
}

func TestPaceEndsWithTheCredits(t *testing.T) {
	start := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	credits := &schema.Credits{Tokens: 1, AsOf: start.Format(time.RFC3339), Expires: start.Add(time.Hour).Format(time.RFC3339)}
	assert.Assert(t, CreditsSubject("t", credits, schema.Batch, start).Limited())
	assert.Assert(t, !CreditsSubject("t", credits, schema.Batch, start.Add(time.Hour)).Limited())
	assert.Assert(t, !CreditsSubject("t", nil, schema.Batch, start).Limited())
}

func TestUnusedTokensAreSavedUp(t *testing.T) {
	start := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	credits := &schema.Credits{Tokens: 86_400, AsOf: start.Format(time.RFC3339), Expires: start.Add(24 * time.Hour).Format(time.RFC3339)}
	l := New(Config{})
	admit := func(now time.Time) bool {
		grant, _ := l.Admit(now, Subject{}, Subject{}, CreditsSubject("t", credits, schema.Batch, now))
		if grant == nil {
			return false
		}
		grant.Release(now, 100)
		return true
	}
	assert.Assert(t, admit(start))
	assert.Assert(t, !admit(start), "the bucket must not start full")
	later := start.Add(time.Hour)
	l.Report(later) // must not remove the subject
	var admitted int
	for admit(later) {
		admitted++
	}
	assert.Assert(t, admitted >= 34 && admitted <= 37, "%d", admitted)
}
