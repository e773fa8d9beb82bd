package admission

import "time"

// Sent records that a running request has been written to the target.
func (c *Controller) Sent(now time.Time, id uint64) {
	if r, ok := c.running[id]; ok {
		r.sent = now
	}
}

// Confirm records that the target has answered a request. The incarnation is
// empty if the target does not name one.
func (c *Controller) Confirm(now time.Time, id uint64, incarnation string) {
	r, ok := c.running[id]
	if !ok {
		return
	}
	if incarnation != "" && incarnation != c.incarnation {
		c.handleRestart(now, incarnation)
	}
	r.confirmed = now
}

// FirstToken records the time from a request's start to its first token and
// lowers the limit when the average exceeds Config.FirstToken.
func (c *Controller) FirstToken(now time.Time, id uint64, d time.Duration) {
	c.stopAwaitingToken(id)
	updateAverage(&c.firstToken, d)
	if c.firstToken > c.config.FirstToken.Seconds() {
		c.backOff(now)
	}
}

// BetweenTokens records the time between two tokens of an answer and lowers the
// limit when the average exceeds Config.BetweenTokens.
func (c *Controller) BetweenTokens(now time.Time, id uint64, d time.Duration) {
	c.stopAwaitingToken(id)
	updateAverage(&c.betweenTokens, d)
	if c.betweenTokens > c.config.BetweenTokens.Seconds() {
		c.backOff(now)
	}
}

// AwaitingToken records that a stream has passed on its latest token and now waits
// for the target's next one. Until then a slow caller may have held the stream up.
func (c *Controller) AwaitingToken(now time.Time, id uint64) {
	if r, ok := c.running[id]; ok {
		r.awaitingSince = now
	}
}

func (c *Controller) stopAwaitingToken(id uint64) {
	if r, ok := c.running[id]; ok {
		r.awaitingSince = time.Time{}
	}
}

// Stalled reports whether streams wait for the target's next token and all of
// them have done so for at least stallTimeout.
func (c *Controller) Stalled(now time.Time) bool {
	waiting := false
	for _, r := range c.running {
		if r.awaitingSince.IsZero() {
			continue
		}
		if now.Sub(r.awaitingSince) < stallTimeout {
			return false
		}
		waiting = true
	}
	return waiting
}

// updateAverage adds a sample to an exponential moving average in seconds.
func updateAverage(value *float64, sample time.Duration) {
	if *value == 0 {
		*value = sample.Seconds()
		return
	}
	*value += smoothingFactor * (sample.Seconds() - *value)
}

// backOff lowers the limit for latency, at most once in minBackoffInterval.
func (c *Controller) backOff(now time.Time) {
	if now.Sub(c.lastBackoff) < minBackoffInterval {
		return
	}
	c.lastBackoff = now
	c.limit = c.clampLimit(c.limit * latencyBackoff)
}

// End says how a running request ended; see Controller.End.
type End int

// Values of End.
const (
	Finished  End = iota // with a whole answer
	Cancelled            // by the caller or the agent; the target may still run it
	Broken               // broken off by the target or its connection
	NotSent              // the target could not be reached
	Unused               // nothing was sent; the target is not at fault
)

// End removes a running request.
func (c *Controller) End(now time.Time, id uint64, end End) {
	r, ok := c.running[id]
	if !ok {
		return
	}
	delete(c.running, id)
	c.reserve.end(now, r.accountKey)
	switch end {
	case Finished:
		updateAverage(&c.serviceTime, now.Sub(r.started))
		c.increaseLimit()
	case Cancelled:
		c.keepSlot(now, r)
	case Broken:
		c.keepSlot(now, r)
		c.limit = c.clampLimit(c.limit * brokenBackoff)
		c.awaitReport(now)
	case NotSent:
		c.awaitReport(now)
	case Unused:
	}
}

// increaseLimit raises the limit by 1 for a finished request if at least half of
// the limit is in use and latency is within its targets. The limit of a target that
// reports that it is cold does not change.
func (c *Controller) increaseLimit() {
	halfUsed := float64(len(c.running)+1) >= c.limit/2
	fast := c.firstToken <= c.config.FirstToken.Seconds() &&
		c.betweenTokens <= c.config.BetweenTokens.Seconds()
	if halfUsed && fast && (!c.cold || !c.config.Reports) {
		c.limit = c.clampLimit(c.limit + 1)
		c.cold = false
	}
}

// keepSlot keeps the slot of an ended request that the target may still run. A
// later report shows whether it does.
func (c *Controller) keepSlot(now time.Time, r *runningRequest) {
	if c.config.Reports {
		c.ended = append(c.ended, endedRequest{at: now, confirmed: !r.confirmed.IsZero()})
	}
}

// awaitReport lets no request start until a report arrives that was sampled
// after now. A target that does not report falls back to the cold limit instead.
func (c *Controller) awaitReport(now time.Time) {
	if !c.config.Reports {
		c.limit, c.cold = float64(c.config.ColdLimit), true
		return
	}
	c.awaitingReport = true
	c.reportNeededAfter = now
}

// handleRestart falls back to the cold limit: the restarted target has lost its
// requests and counts as cold until a report says otherwise.
func (c *Controller) handleRestart(now time.Time, incarnation string) {
	c.incarnation = incarnation
	c.limit, c.cold = float64(c.config.ColdLimit), true
	c.firstToken, c.betweenTokens = 0, 0
	for _, r := range c.running {
		r.confirmed = time.Time{}
	}
	c.awaitReport(now)
}

// Report is a target's own view of its load at the time it was sampled.
type Report struct {
	Incarnation string
	Load        int // requests running and waiting
	Cold        bool
	Sampled     time.Time
}

// Observe updates the controller from a report. Requests that were sent more than
// maxTransit before the sample count as confirmed in the report's incarnation.
func (c *Controller) Observe(now time.Time, report Report) {
	if report.Incarnation != c.incarnation {
		if c.awaitingReport && !report.Sampled.After(c.reportNeededAfter) {
			return // older than the state already known
		}
		c.handleRestart(report.Sampled, report.Incarnation)
		c.reportNeededAfter = report.Sampled.Add(-time.Nanosecond) // so that this report itself is new enough
	}
	if !report.Sampled.After(c.reportNeededAfter) && c.awaitingReport {
		return
	}
	if c.awaitingReport {
		c.awaitingReport = false
		c.countUnattributed(report)
	}
	c.confirmSentBefore(now, report)
	c.releaseEnded(report)
	if report.Cold {
		c.limit = float64(c.config.ColdLimit)
	}
	c.cold = report.Cold
}

// countUnattributed counts all reported requests beyond this controller's confirmed
// ones as unattributed. Later reports may lower that count.
func (c *Controller) countUnattributed(report Report) {
	c.unattributed = max(c.unattributed, report.Load-c.ownInReport(report))
}

// ownInReport returns how many of the reported requests are this controller's. A
// request may have ended on the target before the sample without the controller
// knowing yet; counting it would make the unattributed requests too few. A cold
// target cannot absorb such an error, so none is counted for it.
func (c *Controller) ownInReport(report Report) int {
	if report.Cold {
		return 0
	}
	count := 0
	for _, r := range c.running {
		if !r.confirmed.IsZero() && r.confirmed.Before(report.Sampled) {
			count++
		}
	}
	return count
}

// confirmSentBefore confirms the requests that must have reached the target
// before the report was sampled.
func (c *Controller) confirmSentBefore(now time.Time, report Report) {
	for _, r := range c.running {
		if r.confirmed.IsZero() && !r.sent.IsZero() && r.sent.Add(maxTransit).Before(report.Sampled) {
			r.confirmed = now
		}
	}
}

// releaseEnded frees the slots of ended and unattributed requests that, by the
// report, no longer run. Requests that ended more than maxTransit before the sample
// count as unattributed from then on. The unattributed requests are at most the
// reported load without this controller's confirmed requests.
func (c *Controller) releaseEnded(report Report) {
	kept := c.ended[:0]
	for _, e := range c.ended {
		if e.at.Add(maxTransit).Before(report.Sampled) {
			c.unattributed++
			continue
		}
		kept = append(kept, e)
	}
	c.ended = kept
	c.unattributed = min(c.unattributed, max(0, report.Load-c.ownInReport(report)))
}
