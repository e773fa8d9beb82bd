package admission

import (
	"math"
	"time"
)

// Defaults of Config.
const (
	DefaultFirstToken    = 310 * time.Millisecond
	DefaultBetweenTokens = 67 * time.Millisecond
	DefaultColdLimit     = 2
	DefaultMaxLimit      = 64
)

const (
	smoothingFactor    = 0.1                    // weight of the newest sample in an average
	latencyBackoff     = 0.9                    // factor on the limit when latency exceeds its target
	brokenBackoff      = 0.5                    // factor on the limit when an answer breaks off
	minBackoffInterval = 250 * time.Millisecond // between two decreases of the limit for latency
	stallTimeout       = time.Second            // without a token on any waiting stream
	maxTransit         = 10 * time.Millisecond  // within which a sent request reaches the engine
	minRetryAfter      = 20 * time.Millisecond
	maxRetryAfter      = 5 * time.Second
	initialServiceTime = 500 * time.Millisecond // assumed until the first request has finished
)

// Config holds the limits of one target. Numbers and times that are zero get
// their defaults, except for Queue.
type Config struct {
	ColdLimit     int           // concurrent requests that a cold target can handle
	MaxLimit      int           // upper bound of the concurrent requests
	Queue         int           // requests that may wait beyond the limit
	FirstToken    time.Duration // smoothed time to the first token above which the limit falls
	BetweenTokens time.Duration // smoothed time between two tokens above which the limit falls
	Reports       bool          // the target reports its load
}

func (c Config) withDefaults() Config {
	if c.ColdLimit <= 0 {
		c.ColdLimit = DefaultColdLimit
	}
	if c.MaxLimit <= 0 {
		c.MaxLimit = DefaultMaxLimit
	}
	c.MaxLimit = max(c.MaxLimit, c.ColdLimit)
	if c.FirstToken == 0 {
		c.FirstToken = DefaultFirstToken
	}
	if c.BetweenTokens == 0 {
		c.BetweenTokens = DefaultBetweenTokens
	}
	return c
}

// runningRequest is an admitted request that has not ended.
type runningRequest struct {
	accountKey    accountKey
	started       time.Time
	sent          time.Time // when it was written to the target; zero before
	confirmed     time.Time // when it was found to be in the current incarnation; zero if not yet
	awaitingSince time.Time // since when its stream waits for the next token; zero if it does not
	suspect       bool
}

// endedRequest is a request that ended here but may still run on the target.
type endedRequest struct {
	at        time.Time
	confirmed bool
}

// Controller admits requests to one target.
type Controller struct {
	config  Config
	waiting *queue
	suspect *Request // waits for an empty target; see Request.Suspect
	running map[uint64]*runningRequest
	reserve *reserve

	limit       float64
	cold        bool
	incarnation string
	// While awaitingReport is set no request starts. Only a report sampled after
	// reportNeededAfter clears it.
	reportNeededAfter time.Time
	awaitingReport    bool
	ended             []endedRequest // requests that the target may still run
	unattributed      int            // requests that the target may run and that are in neither running nor ended

	firstToken    float64 // smoothed, seconds
	betweenTokens float64 // smoothed, seconds
	serviceTime   float64 // smoothed, seconds
	lastBackoff   time.Time
}

// NewController returns a controller for a target whose state is not known yet. A
// target that reports its load gets no request before the first report.
func NewController(now time.Time, config Config) *Controller {
	config = config.withDefaults()
	return &Controller{
		config:            config,
		waiting:           newQueue(),
		running:           make(map[uint64]*runningRequest),
		reserve:           newReserve(),
		limit:             float64(config.ColdLimit),
		cold:              true,
		reportNeededAfter: now,
		awaitingReport:    config.Reports,
		serviceTime:       initialServiceTime.Seconds(),
	}
}

// Configure replaces the configuration, except for Config.Reports.
func (c *Controller) Configure(config Config) {
	config.Reports = c.config.Reports
	c.config = config.withDefaults()
	c.limit = c.clampLimit(c.limit)
}

// RampUp resets the limit to the cold limit, from which it rises again, for a
// target that gets requests again after it has been out of service.
func (c *Controller) RampUp() { c.limit = float64(c.config.ColdLimit) }

func (c *Controller) clampLimit(limit float64) float64 {
	return min(max(limit, float64(c.config.ColdLimit)), float64(c.config.MaxLimit))
}

// Verdict is the result of offering a request.
type Verdict int

// Values of Verdict.
const (
	Waiting Verdict = iota // until Next returns its ID
	Refused
)

// Decision is what Offer returns.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration // a hint, if refused
	Displaced  uint64        // ID of a waiting request that is refused in favour of this one; 0 for none
}

// Offer queues a request until Next returns its ID, or refuses it.
func (c *Controller) Offer(r Request) Decision {
	if r.Suspect {
		return c.offerSuspect(r)
	}
	if c.waiting.size < c.waitingCapacity() {
		c.waiting.push(r)
		return Decision{}
	}
	victim, ok := c.waiting.victim(r)
	if !ok || c.waitingCapacity() == 0 {
		return Decision{Verdict: Refused, RetryAfter: c.RetryAfter()}
	}
	c.waiting.remove(victim)
	c.waiting.push(r)
	return Decision{Displaced: victim.ID}
}

// waitingCapacity is how many requests may wait: those of the queue, and those
// that fit within the limit but must wait until others are confirmed or a report
// arrives. Before the first report the limit is the cold limit.
func (c *Controller) waitingCapacity() int {
	return c.config.Queue + max(0, c.Limit()-c.occupied())
}

func (c *Controller) offerSuspect(r Request) Decision {
	if c.suspect != nil {
		return Decision{Verdict: Refused, RetryAfter: c.RetryAfter()}
	}
	c.suspect = &r
	return Decision{}
}

// Next starts the requests that may run now and returns their IDs.
func (c *Controller) Next(now time.Time) []uint64 {
	var started []uint64
	for c.mayStart() {
		next, ok := c.takeNext()
		if !ok {
			break
		}
		c.running[next.ID] = &runningRequest{accountKey: accountKeyOf(next), started: now, suspect: next.Suspect}
		c.reserve.start(now, accountKeyOf(next))
		started = append(started, next.ID)
	}
	return started
}

// takeNext removes and returns the request to start next. While a suspect waits
// nothing else starts, so that the target empties for it.
func (c *Controller) takeNext() (Request, bool) {
	if c.suspect != nil {
		if c.occupied() > 0 {
			return Request{}, false
		}
		next := *c.suspect
		c.suspect = nil
		return next, true
	}
	return c.waiting.pop(func(r Request) bool {
		return c.reserve.permits(accountKeyOf(r), c.Limit()-c.occupied(), c.Limit())
	})
}

// mayStart reports whether the state of the target allows one more request.
func (c *Controller) mayStart() bool {
	if c.awaitingReport || c.occupied() >= c.Limit() {
		return false
	}
	unconfirmed := 0
	for _, e := range c.ended {
		if !e.confirmed {
			unconfirmed++
		}
	}
	for _, r := range c.running {
		if r.suspect {
			return false
		}
		if r.confirmed.IsZero() {
			unconfirmed++
		}
	}
	return !c.config.Reports || unconfirmed < c.config.ColdLimit
}

// occupied counts the requests that the target may be running.
func (c *Controller) occupied() int { return len(c.running) + len(c.ended) + c.unattributed }

// Blocked reports whether only a report from the target or the confirmation of a
// running request can let the next request start.
func (c *Controller) Blocked() bool {
	return c.awaitingReport || c.waiting.size > 0 && c.occupied() < c.Limit() && !c.mayStart()
}

// Remove removes a waiting request and reports whether it was waiting.
func (c *Controller) Remove(r Request) bool {
	if c.suspect != nil && c.suspect.ID == r.ID {
		c.suspect = nil
		return true
	}
	return c.waiting.remove(r)
}

// Drain removes all waiting requests and returns their IDs.
func (c *Controller) Drain() []uint64 {
	var drained []uint64
	c.waiting.each(func(r Request) { drained = append(drained, r.ID) })
	if c.suspect != nil {
		drained = append(drained, c.suspect.ID)
	}
	c.waiting, c.suspect = newQueue(), nil
	return drained
}

// Limit returns the current limit of concurrent requests.
func (c *Controller) Limit() int {
	if c.cold {
		return c.config.ColdLimit
	}
	return int(c.limit)
}

// RetryAfter estimates after which time a refused request could be accepted.
func (c *Controller) RetryAfter() time.Duration {
	rounds := float64(c.waiting.size+1) / float64(c.Limit())
	wait := time.Duration(rounds * c.serviceTime * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Incarnation returns the last known incarnation of the target.
func (c *Controller) Incarnation() string { return c.incarnation }

// View is the part of the controller's state that is reported to others.
type View struct {
	Running        int
	Queued         int
	Limit          int
	Cold           bool
	AwaitingReport bool
	FirstToken     time.Duration
	BetweenTokens  time.Duration
}

// View returns the current state.
func (c *Controller) View() View {
	queued := c.waiting.size
	if c.suspect != nil {
		queued++
	}
	return View{
		Running:        len(c.running),
		Queued:         queued,
		Limit:          c.Limit(),
		Cold:           c.cold,
		AwaitingReport: c.awaitingReport,
		FirstToken:     seconds(c.firstToken),
		BetweenTokens:  seconds(c.betweenTokens),
	}
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
