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
	smoothing        = 0.1                    // weight of the newest sample
	decrease         = 0.9                    // factor of the limit when latency is over its target
	breakFactor      = 0.5                    // factor of the limit when an answer breaks off
	adjustInterval   = 250 * time.Millisecond // between two decreases for latency
	stallAfter       = time.Second            // without a token of any stream that has begun
	transit          = 10 * time.Millisecond  // within which a request reaches the engine
	minRetryAfter    = 20 * time.Millisecond
	maxRetryAfter    = 5 * time.Second
	firstServiceTime = 500 * time.Millisecond // taken for a request's before one has finished
)

// Config holds the bounds of a target. Zero fields get the defaults, but Queue.
type Config struct {
	ColdLimit     int // concurrent requests that a cold target bears
	MaxLimit      int // concurrent requests at most
	Queue         int // requests that may wait beyond the limit
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Reports       bool // the target reports its load
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

// run is an admitted request that has not ended.
type run struct {
	owner     owner
	started   time.Time
	sent      time.Time // when it was written to the target; zero before
	confirmed time.Time // when it was known to be in the current incarnation; zero if it is not
	awaited   time.Time // since when the next token of a stream is awaited; zero while it is not
	suspect   bool
}

// ending is the end of a request that the target may still run.
type ending struct {
	at        time.Time
	confirmed bool
}

// Controller admits requests to one target.
type Controller struct {
	config  Config
	waiting *queue
	suspect *Request // waits to run alone
	running map[uint64]*run
	reserve *reserve

	limit       float64
	cold        bool
	incarnation string
	// doubtSince is when the target's state came in doubt; nothing starts
	// until a report of later is there. Zero if there is no doubt.
	doubtSince time.Time
	inDoubt    bool
	ended      []ending // requests that the target may still run
	foreign    int      // requests on the target that are not of this controller

	firstToken    float64 // smoothed, seconds
	betweenTokens float64 // smoothed, seconds
	serviceTime   float64 // smoothed, seconds
	adjusted      time.Time
}

// NewController returns a controller that knows nothing of its target yet. A
// target that reports its load gets no work before the first report.
func NewController(now time.Time, config Config) *Controller {
	config = config.withDefaults()
	return &Controller{
		config:      config,
		waiting:     newQueue(),
		running:     make(map[uint64]*run),
		reserve:     newReserve(),
		limit:       float64(config.ColdLimit),
		cold:        true,
		doubtSince:  now,
		inDoubt:     config.Reports,
		serviceTime: firstServiceTime.Seconds(),
	}
}

// Configure changes the bounds.
func (c *Controller) Configure(config Config) {
	config.Reports = c.config.Reports
	c.config = config.withDefaults()
	c.limit = c.bounded(c.limit)
}

// RampUp starts again from the cold limit, after the target has been out.
func (c *Controller) RampUp() { c.limit = float64(c.config.ColdLimit) }

func (c *Controller) bounded(limit float64) float64 {
	return min(max(limit, float64(c.config.ColdLimit)), float64(c.config.MaxLimit))
}

// Verdict is what becomes of an offered request.
type Verdict int

// Values of Verdict.
const (
	Waiting Verdict = iota // see Next
	Refused
)

// Decision is the answer to an offer.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration // a hint, if refused
	Displaced  uint64        // a waiting request that is refused in favour of this one; 0 for none
}

// Offer takes a request in, to wait until Next names it, or refuses it.
func (c *Controller) Offer(r Request) Decision {
	if r.Suspect {
		return c.offerSuspect(r)
	}
	if c.waiting.size < c.room() {
		c.waiting.push(r)
		return Decision{}
	}
	victim, ok := c.waiting.victim(r)
	if !ok || c.room() == 0 {
		return Decision{Verdict: Refused, RetryAfter: c.RetryAfter()}
	}
	c.waiting.remove(victim)
	c.waiting.push(r)
	return Decision{Displaced: victim.ID}
}

// room is how many requests may wait: those of the queue, and those that fit
// the limit but must wait for others to be confirmed. While the target is in
// doubt, those that fit a cold target may.
func (c *Controller) room() int {
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
		c.running[next.ID] = &run{owner: ownerOf(next), started: now, suspect: next.Suspect}
		c.reserve.start(now, ownerOf(next))
		started = append(started, next.ID)
	}
	return started
}

// takeNext returns the request to start next. While a suspect waits nothing
// else starts, until it has the target for itself.
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
		return c.reserve.leaves(ownerOf(r), c.Limit()-c.occupied(), c.Limit())
	})
}

func (c *Controller) mayStart() bool {
	if c.inDoubt || c.occupied() >= c.Limit() {
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

// occupied counts what the target may be running.
func (c *Controller) occupied() int { return len(c.running) + len(c.ended) + c.foreign }

// Blocked reports whether requests wait only for news of the target.
func (c *Controller) Blocked() bool {
	return c.inDoubt || c.waiting.size > 0 && c.occupied() < c.Limit() && !c.mayStart()
}

// Remove takes out a waiting request and reports whether it was waiting.
func (c *Controller) Remove(r Request) bool {
	if c.suspect != nil && c.suspect.ID == r.ID {
		c.suspect = nil
		return true
	}
	return c.waiting.remove(r)
}

// Drain takes out all waiting requests.
func (c *Controller) Drain() []uint64 {
	var drained []uint64
	c.waiting.each(func(r Request) { drained = append(drained, r.ID) })
	if c.suspect != nil {
		drained = append(drained, c.suspect.ID)
	}
	c.waiting, c.suspect = newQueue(), nil
	return drained
}

// Limit is the number of concurrent requests that the target gets now.
func (c *Controller) Limit() int {
	if c.cold {
		return c.config.ColdLimit
	}
	return int(c.limit)
}

// RetryAfter is a hint when a refused request may find room.
func (c *Controller) RetryAfter() time.Duration {
	places := float64(c.waiting.size+1) / float64(c.Limit())
	wait := time.Duration(places * c.serviceTime * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Incarnation returns the target's incarnation as last heard of.
func (c *Controller) Incarnation() string { return c.incarnation }

// View is the controller's state, for reports.
type View struct {
	Running        int
	Queued         int
	Limit          int
	Cold           bool
	AwaitingReport bool
	FirstToken     time.Duration
	BetweenTokens  time.Duration
}

// View returns the state.
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
		AwaitingReport: c.inDoubt,
		FirstToken:     seconds(c.firstToken),
		BetweenTokens:  seconds(c.betweenTokens),
	}
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
