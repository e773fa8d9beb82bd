package limits

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quetzalbend/internal/core/limits"
	"quetzalbend/internal/core/schema"
)

// FloodResult holds the effect of a flooding account on the others under one
// policy.
type FloodResult struct {
	Policy            string  `json:"policy"`
	OthersP95BeforeMS float64 `json:"others_p95_before_ms"`
	OthersP95DuringMS float64 `json:"others_p95_during_ms"`
	Ratio             float64 `json:"others_p95_ratio"`
	OthersFailed      int     `json:"others_failed"`
	FloodPerSecond    float64 `json:"flood_finished_per_second"`
	SlotsUsed         float64 `json:"slots_used_during"`
}

// floodPolicy is a way to share capacity among accounts.
type floodPolicy struct {
	name  string
	gate  bool // entries admit requests through limits.Gate
	fixed bool // each account may use an equal share of all slots
}

var floodPolicies = []floodPolicy{
	{name: "first come, first served"},
	{name: "fixed equal parts", fixed: true},
	{name: "quetzalbend", gate: true},
}

// Behaviour of callers and entries.
const (
	maxTargetAttempts = 8 // the same number as in the dispatcher
	callerBackoff     = 200 * time.Millisecond
	callerTimeout     = 10 * time.Second
)

// flooder is the account that floods.
const flooder = 0

// call is one request of an account, with its retries.
type call struct {
	account int
	first   time.Duration // when it was first sent
	retries int
	entry   int
	target  int
	ticket  *limits.Ticket
}

// event is the sending or the end of a call at a virtual time.
type event struct {
	at     time.Duration
	serial int // orders events of the same time as they were scheduled
	call   *call
	ends   bool // the call ends at its target; else it is sent
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// flood is one run under a policy.
type flood struct {
	*Command

	policy     floodPolicy
	random     *rand.Rand
	eventQueue eventQueue
	serial     int
	now        time.Duration
	gates      []*limits.Gate
	busy       []int   // by target
	running    [][]int // by entry and account

	before, during []float64 // latencies of others in milliseconds
	failed         int
	floodDone      int
	slotTime       time.Duration // sum of service times of calls started during the flood
}

func (c *Command) runFlood(policy floodPolicy) FloodResult {
	f := &flood{
		Command: c, policy: policy, random: rand.New(rand.NewPCG(c.Seed, 2)),
		busy: make([]int, c.Targets),
	}
	for range c.Entries {
		f.gates = append(f.gates, limits.NewGate())
		f.running = append(f.running, make([]int, c.Accounts+1))
	}
	f.schedule()
	for f.eventQueue.Len() > 0 {
		next := heap.Pop(&f.eventQueue).(event)
		f.now = next.at
		if next.ends {
			f.end(next.call)
		} else {
			f.send(next.call)
		}
	}
	return f.result()
}

// schedule adds the first sends of all accounts to the event queue.
func (f *flood) schedule() {
	duration := time.Duration(f.Seconds) * time.Second
	for account := 1; account <= f.Accounts; account++ {
		f.scheduleAccount(account, f.OthersRate/float64(f.Accounts), 0, duration)
	}
	f.scheduleAccount(flooder, f.FloodRate, duration/3, 2*duration/3)
}

// scheduleAccount schedules the requests of an account as a Poisson process.
func (f *flood) scheduleAccount(account int, rate float64, from, to time.Duration) {
	for at := from; ; {
		at += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		f.push(event{at: at, call: &call{account: account, first: at}})
	}
}

func (f *flood) push(e event) {
	f.serial++
	e.serial = f.serial
	heap.Push(&f.eventQueue, e)
}

// clock returns the virtual time as a time.Time.
func (f *flood) clock() time.Time { return time.Unix(0, 0).UTC().Add(f.now) }

// send offers a call to a random entry and schedules its end if a target takes
// it.
func (f *flood) send(c *call) {
	c.entry = f.random.IntN(f.Entries)
	if !f.enter(c) || !f.place(c) {
		f.refused(c)
		return
	}
	f.running[c.entry][c.account]++
	service := time.Duration(f.ServiceMS * (0.5 + 0.5*f.random.ExpFloat64()) * float64(time.Millisecond))
	f.push(event{at: f.now + service, call: c, ends: true})
	if f.inFlood(f.now) {
		f.slotTime += service
	}
}

// enter reports whether the policy admits a call.
func (f *flood) enter(c *call) bool {
	switch {
	case f.policy.gate:
		work := limits.Work{Team: "team", Share: 1, Account: fmt.Sprint(c.account), Class: schema.Interactive}
		c.ticket, _ = f.gates[c.entry].Enter(f.clock(), work)
		return c.ticket != nil
	case f.policy.fixed:
		share := float64(f.Targets*f.Slots) / float64(f.Entries*(f.Accounts+1))
		return float64(f.running[c.entry][c.account]) < math.Ceil(share)
	}
	return true
}

// place tries up to maxTargetAttempts targets in random order and reports whether
// one has a free slot.
func (f *flood) place(c *call) bool {
	order := f.random.Perm(f.Targets)
	for _, c.target = range order[:min(maxTargetAttempts, len(order))] {
		if f.busy[c.target] < f.Slots {
			f.busy[c.target]++
			return true
		}
	}
	if c.ticket != nil {
		c.ticket.Leave(f.clock(), limits.Refused)
	}
	return false
}

// refused schedules a retry of a refused call, or counts the call as failed if the
// retry would come after callerTimeout. The flooder does not retry.
func (f *flood) refused(c *call) {
	if c.account == flooder {
		return
	}
	c.retries++
	backoff := time.Duration(float64(callerBackoff) * (0.5 + f.random.Float64()) * float64(c.retries))
	if f.now+backoff-c.first > callerTimeout {
		f.failed++
		return
	}
	f.push(event{at: f.now + backoff, call: c})
}

func (f *flood) end(c *call) {
	f.busy[c.target]--
	f.running[c.entry][c.account]--
	if c.ticket != nil {
		c.ticket.Leave(f.clock(), limits.NoShortage)
	}
	latency := float64(f.now-c.first) / float64(time.Millisecond)
	switch {
	case c.account == flooder:
		f.floodDone++
	case f.inFlood(c.first):
		f.during = append(f.during, latency)
	case c.first < f.third():
		f.before = append(f.before, latency)
	}
}

func (f *flood) third() time.Duration { return time.Duration(f.Seconds) * time.Second / 3 }

func (f *flood) inFlood(at time.Duration) bool { return at >= f.third() && at < 2*f.third() }

func (f *flood) result() FloodResult {
	before, during := p95(f.before), p95(f.during)
	third := f.third().Seconds()
	return FloodResult{
		Policy:            f.policy.name,
		OthersP95BeforeMS: before,
		OthersP95DuringMS: during,
		Ratio:             during / before,
		OthersFailed:      f.failed,
		FloodPerSecond:    float64(f.floodDone) / third,
		SlotsUsed:         f.slotTime.Seconds() / third / float64(f.Targets*f.Slots),
	}
}

// p95 returns the 95th percentile, 0 for no values; it sorts them.
func p95(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(math.Ceil(0.95*float64(len(values))))-1]
}
