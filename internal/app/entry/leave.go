package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"quetzalbend/internal/drain"
)

// Time for the answers to requests that are given up at the end of the grace time.
const (
	answerMargin      = 200 * time.Millisecond
	maxAnswerFraction = 10 // the margin is at most the grace time, divided by it
)

// drainPlan keeps connections without a request for the notice time once more after it, so
// that a request on its way is answered.
func (c Config) drainPlan() drain.Plan {
	notice, grace := milliseconds(c.NoticeMS), milliseconds(c.GraceMS)
	answers := notice + grace - min(answerMargin, grace/maxAnswerFraction)
	return drain.Plan{Accept: notice, Keep: min(2*notice, answers), Answers: answers, Close: notice + grace}
}

// leave takes the entry out of service. Each request that it has taken is answered.
func (e *Entry) leave(work context.Context, callers *http.Server) {
	e.health.leaving.Store(true)
	log.Info("entry leaving")
	if err := e.drain.Run(work, callers); err != nil {
		log.WithError(err).Warn("connections closed after the grace time")
	}
}
