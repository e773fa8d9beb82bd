package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func report(ms, load int, incarnation string, cold bool) Report {
	return Report{Incarnation: incarnation, Load: load, Cold: cold, Sampled: at(ms)}
}

// reporting returns a controller with 8 waiting requests for a target that reports
// its load but has sent no report yet.
func reporting() *Controller {
	c := NewController(start, Config{ColdLimit: 2, MaxLimit: 8, Queue: 8, Reports: true})
	for id := uint64(1); id <= 8; id++ {
		c.Offer(Request{ID: id})
	}
	return c
}

// busy returns a controller of a warm target in incarnation e1 whose limit is 8.
// Requests 1 and 2 have been sent and are not confirmed.
func busy() *Controller {
	c := reporting()
	c.Observe(at(2), report(1, 0, "e1", false))
	c.limit = 8
	for _, id := range c.Next(at(2)) {
		c.Sent(at(2), id)
	}
	return c
}

func TestNothingStartsBeforeAReportSampledAfterTheStart(t *testing.T) {
	c := reporting()
	assert.Equal(t, len(c.Next(start)), 0)
	c.Observe(at(1), report(0, 0, "e1", true))
	assert.Equal(t, len(c.Next(at(1))), 0)
	c.Observe(at(2), report(1, 1, "e1", true)) // still runs a request of an earlier agent
	assert.Equal(t, len(c.Next(at(2))), 1)
}

func TestUnconfirmedRequestsNeverOutnumberTheColdLimit(t *testing.T) {
	c := busy()
	assert.Equal(t, len(c.running), 2)
	c.Confirm(at(3), 1, "e1")
	assert.DeepEqual(t, c.Next(at(3)), []uint64{3})
	c.End(at(4), 2, Cancelled) // the target may still run it
	assert.Equal(t, len(c.Next(at(4))), 0)
	c.Observe(at(21), report(20, 2, "e1", false))
	assert.Equal(t, len(c.Next(at(21))), 1)
	c.Observe(at(40), report(39, 3, "e1", false)) // request 3 was never sent
	assert.Equal(t, len(c.Next(at(40))), 0)
}

func TestReportConfirmsRequestsSentWellBeforeIt(t *testing.T) {
	c := busy()
	c.Observe(at(13), report(12, 2, "e1", false))
	assert.Equal(t, len(c.Next(at(13))), 0)
	c.Observe(at(14), report(13, 2, "e1", false))
	assert.Equal(t, len(c.Next(at(14))), 2)
}

func TestBrokenAnswerStopsNewRequestsUntilALaterReport(t *testing.T) {
	c := busy()
	c.Confirm(at(3), 1, "e1")
	c.Confirm(at(3), 2, "e1")
	c.End(at(4), 1, Broken)
	assert.Equal(t, len(c.Next(at(4))), 0)
	c.Observe(at(5), report(4, 2, "e1", false)) // perhaps sampled before the break
	assert.Equal(t, len(c.Next(at(5))), 0)
	c.Observe(at(5), report(4, 0, "e2", true))
	assert.Equal(t, len(c.Next(at(5))), 0)
	c.Observe(at(16), report(15, 0, "e2", true))
	assert.Equal(t, len(c.Next(at(16))), 1) // request 2 is unconfirmed again
}

func TestNewIncarnationFallsBackToTheColdLimit(t *testing.T) {
	c := busy()
	c.Confirm(at(3), 1, "e2")
	assert.Equal(t, c.Limit(), 2)
	assert.Equal(t, len(c.Next(at(3))), 0)

	c = busy()
	c.Observe(at(4), report(3, 0, "e2", false))
	assert.Equal(t, c.Limit(), 2)

	c = busy()
	c.Observe(at(4), report(3, 2, "e1", true)) // cold again, same incarnation
	assert.Equal(t, c.Limit(), 2)
}

func TestCancelledRequestKeepsItsSlotOnAColdTarget(t *testing.T) {
	c := reporting()
	c.Observe(at(2), report(1, 0, "e1", true))
	for _, id := range c.Next(at(2)) {
		c.Confirm(at(3), id, "e1")
	}
	c.End(at(4), 1, Cancelled)
	assert.Equal(t, len(c.Next(at(4))), 0)
	c.Observe(at(31), report(30, 2, "e1", true))
	assert.Equal(t, len(c.Next(at(31))), 0)
	c.Observe(at(41), report(40, 0, "e1", true))
	assert.Equal(t, len(c.Next(at(41))), 1)
}
