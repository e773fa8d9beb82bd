package admission

import "time"

// Sent says that a running request has been written to the target.
func (c *Controller) Sent(now time.Time, id uint64) {
	if r, ok := c.running[id]; ok {
		r.sent = now
	}
}

// Confirm says that the target has answered a request in the given
// incarnation; empty if the target does not tell.
func (c *Controller) Confirm(now time.Time, id uint64, incarnation string) {
	r, ok := c.running[id]
	if !ok {
		return
	}
	if incarnation != "" && incarnation != c.incarnation {
		c.restarted(now, incarnation)
	}
	r.confirmed = now
}

// FirstToken notes the time from a request's start to its first token.
func (c *Controller) FirstToken(now time.Time, id uint64, d time.Duration) {
	c.sawToken(id)
	smooth(&c.firstToken, d)
	if c.firstToken > c.config.FirstToken.Seconds() {
		c.slowDown(now)
	}
}

// BetweenTokens notes the time between two tokens of an answer.
func (c *Controller) BetweenTokens(now time.Time, id uint64, d time.Duration) {
	c.sawToken(id)
	smooth(&c.betweenTokens, d)
	if c.betweenTokens > c.config.BetweenTokens.Seconds() {
		c.slowDown(now)
	}
}

// AwaitingToken says that a stream has handed its last token on and waits for the
// next one of the target. Until then a slow caller may hold it up.
func (c *Controller) AwaitingToken(now time.Time, id uint64) {
	if r, ok := c.running[id]; ok {
		r.awaited = now
	}
}

func (c *Controller) sawToken(id uint64) {
	if r, ok := c.running[id]; ok {
		r.awaited = time.Time{}
	}
}

// Stalled reports whether streams have begun on the target and all of them
// have waited for its next token for a while.
func (c *Controller) Stalled(now time.Time) bool {
	begun := false
	for _, r := range c.running {
		if r.awaited.IsZero() {
			continue
		}
		if now.Sub(r.awaited) < stallAfter {
			return false
		}
		begun = true
	}
	return begun
}

func smooth(value *float64, sample time.Duration) {
	if *value == 0 {
		*value = sample.Seconds()
		return
	}
	*value += smoothing * (sample.Seconds() - *value)
}

func (c *Controller) slowDown(now time.Time) {
	if now.Sub(c.adjusted) < adjustInterval {
		return
	}
	c.adjusted = now
	c.limit = c.bounded(c.limit * decrease)
}

// End is how a running request ended.
type End int

// Ends.
const (
	Finished  End = iota // with a whole answer
	Cancelled            // from this side; the target may not have noticed yet
	Broken               // by the target, or by the way to it
	NotSent              // the target was not reached
	Unused               // nothing was sent to the target, for no fault of its own
)

// End takes a running request out.
func (c *Controller) End(now time.Time, id uint64, end End) {
	r, ok := c.running[id]
	if !ok {
		return
	}
	delete(c.running, id)
	c.reserve.end(now, r.owner)
	switch end {
	case Finished:
		smooth(&c.serviceTime, now.Sub(r.started))
		c.grow()
	case Cancelled:
		c.linger(now, r)
	case Broken:
		c.linger(now, r)
		c.limit = c.bounded(c.limit * breakFactor)
		c.doubt(now)
	case NotSent:
		c.doubt(now)
	case Unused:
	}
}

// grow raises the limit for finished work while it is used and latency allows.
func (c *Controller) grow() {
	used := float64(len(c.running)+1) >= c.limit/2
	fast := c.firstToken <= c.config.FirstToken.Seconds() &&
		c.betweenTokens <= c.config.BetweenTokens.Seconds()
	if used && fast && (!c.cold || !c.config.Reports) {
		c.limit = c.bounded(c.limit + 1)
		c.cold = false
	}
}

// linger keeps the place of a request that the target may still be running
// until a report shows that it is gone.
func (c *Controller) linger(now time.Time, r *run) {
	if c.config.Reports {
		c.ended = append(c.ended, ending{at: now, confirmed: !r.confirmed.IsZero()})
	}
}

// doubt stops new work until a report of later than now comes. A target that
// does not report falls back to the cold limit instead.
func (c *Controller) doubt(now time.Time) {
	if !c.config.Reports {
		c.limit, c.cold = float64(c.config.ColdLimit), true
		return
	}
	c.inDoubt = true
	c.doubtSince = now
}

// restarted falls back to the cold limit: the target has lost what it ran and
// is as good as cold until a report says otherwise.
func (c *Controller) restarted(now time.Time, incarnation string) {
	c.incarnation = incarnation
	c.limit, c.cold = float64(c.config.ColdLimit), true
	c.firstToken, c.betweenTokens = 0, 0
	for _, r := range c.running {
		r.confirmed = time.Time{}
	}
	c.doubt(now)
}

// Report is a target's own view of its load at the time it was sampled.
type Report struct {
	Incarnation string
	Load        int // requests running and waiting
	Cold        bool
	Sampled     time.Time
}

// Observe takes in a report. Requests sent well before it are confirmed to
// be in its incarnation.
func (c *Controller) Observe(now time.Time, report Report) {
	if report.Incarnation != c.incarnation {
		if c.inDoubt && !report.Sampled.After(c.doubtSince) {
			return // older than what is known
		}
		c.restarted(report.Sampled, report.Incarnation)
		c.doubtSince = report.Sampled.Add(-time.Nanosecond)
	}
	if !report.Sampled.After(c.doubtSince) && c.inDoubt {
		return
	}
	if c.inDoubt {
		c.inDoubt = false
		c.reckon(report)
	}
	c.confirmBefore(now, report)
	c.settleEnded(report)
	if report.Cold {
		c.limit = float64(c.config.ColdLimit)
	}
	c.cold = report.Cold
}

// reckon takes everything that the target runs beyond this controller's
// confirmed requests for foreign, and lets later reports lower that.
func (c *Controller) reckon(report Report) {
	c.foreign = max(c.foreign, report.Load-c.ownRunning(report))
}

// ownRunning counts this controller's requests in a report. One of them may
// have ended on the target before the sample without this controller having
// heard of it, so before a cold target, which bears no mistake, none is counted.
func (c *Controller) ownRunning(report Report) int {
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

func (c *Controller) confirmBefore(now time.Time, report Report) {
	for _, r := range c.running {
		if r.confirmed.IsZero() && !r.sent.IsZero() && r.sent.Add(transit).Before(report.Sampled) {
			r.confirmed = now
		}
	}
}

// settleEnded frees the places of ended and foreign requests that a report
// shows to be gone.
func (c *Controller) settleEnded(report Report) {
	kept := c.ended[:0]
	for _, e := range c.ended {
		if e.at.Add(transit).Before(report.Sampled) {
			c.foreign++
			continue
		}
		kept = append(kept, e)
	}
	c.ended = kept
	c.foreign = min(c.foreign, max(0, report.Load-c.ownRunning(report)))
}
