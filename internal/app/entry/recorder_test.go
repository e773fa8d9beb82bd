package entry

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/metrics"
)

func TestFailedAttemptCodesGetBoundedNumberOfCounters(t *testing.T) {
	registry := metrics.New()
	r := newRecorder(registry)
	for i := range 10 * maxCodes {
		r.CountFailedAttempt(fmt.Sprint("code", i))
	}
	text := string(registry.Text())
	assert.Equal(t, strings.Count(text, "dispatch_failed_attempts_total{"), maxCodes+1)
	assert.Assert(t, strings.Contains(text, fmt.Sprintf(`dispatch_failed_attempts_total{code="other"} %d`, 9*maxCodes)))
}
