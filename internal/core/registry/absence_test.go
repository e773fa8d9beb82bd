package registry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	heartbeat    = 1200 * time.Millisecond
	simTargets   = 18
	simTick      = 10 * time.Millisecond
	readInterval = 500 * time.Millisecond
	retryWait    = 850 * time.Millisecond // from a read that fails to the next one
)

// period is a time, counted from the start.
type period struct{ from, to time.Duration }

func (p period) holds(at time.Duration) bool { return at >= p.from && at < p.to }

// store plays the registry: targets write at each heartbeat, and records expire.
type store struct {
	outage  period            // in which nobody reads or writes
	cutOff  period            // in which the first targets cannot write
	cut     int               // number of these
	written [simTargets]int64 // tick of the latest heartbeat; 0: none
	present [simTargets]bool  // it has a record
	leaves  [simTargets]time.Duration
	log     []string // "+id" for a record and "-id" for a removal
}

func id(i int) string { return fmt.Sprintf("t%02d", i) }

// tick advances the store to a time.
func (s *store) tick(at time.Duration) {
	for i := range simTargets {
		phase := heartbeat * time.Duration(i) / simTargets
		due := (at-phase)%heartbeat < simTick && at >= phase
		left := s.leaves[i] > 0 && at >= s.leaves[i]
		reachable := !s.outage.holds(at) && (i >= s.cut || !s.cutOff.holds(at))
		switch {
		case left && s.present[i] && reachable:
			s.present[i] = false
			s.log = append(s.log, "-"+id(i))
		case due && !left && reachable:
			s.present[i], s.written[i] = true, int64(at)
			s.log = append(s.log, "+"+id(i))
		case s.present[i] && at-time.Duration(s.written[i]) >= expiryIntervals*heartbeat:
			s.present[i] = false
			s.log = append(s.log, "-"+id(i))
		}
	}
}

// reader reads the store's log into a table, as a gateway does.
type reader struct {
	table *Table
	next  int
	cut   period // in which it cannot read
	due   time.Duration
}

func newReader(cut period) *reader {
	return &reader{table: NewTable(Timing{Heartbeat: heartbeat}), cut: cut}
}

// tick reads the log if a read is due.
func (r *reader) tick(s *store, at time.Duration) {
	now := start.Add(at)
	r.table.Expire(now)
	if at < r.due {
		return
	}
	if r.cut.holds(at) || s.outage.holds(at) {
		r.table.ReadFailed()
		r.due = at + retryWait
		return
	}
	r.due = at + readInterval
	written := make(map[string]int)
	for _, record := range s.log[r.next:] {
		if record[0] == '+' {
			written[record[1:]]++
		}
	}
	r.table.ReadOn(now, written)
	for _, record := range s.log[r.next:] {
		if record[0] == '+' {
			r.table.Put(target(record[1:]), now)
		} else {
			r.table.Remove(record[1:], now)
		}
	}
	r.next = len(s.log)
}

func has(table *Table, id string) bool {
	for _, t := range table.Usable(nil)["app"] {
		if t.ID == id {
			return true
		}
	}
	return false
}

// run advances the store and a reader up to a time, with a check at each tick.
func run(s *store, r *reader, until time.Duration, check func(at time.Duration)) {
	for at := time.Duration(0); at < until; at += simTick {
		s.tick(at)
		r.tick(s, at)
		check(at)
	}
}

const cutAt = 10 * time.Second

var cutLengths = []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second, 2500 * time.Millisecond, 3500 * time.Millisecond, 5500 * time.Millisecond, 8 * time.Second}

// A gateway that had been cut off from the store took the removal of a target for one that
// an outage of the store had caused, and sent it requests for up to 2.2 s more (review/7).
func TestTargetTakenAwayAroundACutOfAGatewayIsDroppedAsItReadsThat(t *testing.T) {
	for _, length := range cutLengths {
		for _, offset := range []time.Duration{-300, 100, 400, 900, 1500, 2100} {
			for _, leaving := range []int{0, 7, 16} {
				end := cutAt + length
				s, r := &store{}, newReader(period{cutAt, end})
				s.leaves[leaving] = end + offset*time.Millisecond
				run(s, r, end+6*time.Second, func(at time.Duration) {
					// The next read comes at most retryWait after the cut, or readInterval after the removal.
					known := max(s.leaves[leaving]+readInterval, end+retryWait) + 2*simTick
					assert.Assert(t, at < known || !has(r.table, id(leaving)), "cut for %s, taken away %s after it: used at %s", length, offset*time.Millisecond, at-end)
				})
			}
		}
	}
}

// Targets of a failure domain that is cut off go on serving its gateways. Their records have
// expired when the cut ends, and are back within a heartbeat.
func TestTargetsCutOffTogetherWithAGatewayStayUsable(t *testing.T) {
	for _, length := range []time.Duration{4500 * time.Millisecond, 5500 * time.Millisecond, 8 * time.Second} {
		for _, cut := range []int{3, 6, 12} {
			end := cutAt + length
			s, r := &store{cutOff: period{cutAt, end}, cut: cut}, newReader(period{cutAt, end})
			run(s, r, end+4*time.Second, func(at time.Duration) {
				if at < 3*time.Second {
					return
				}
				assert.Equal(t, usable(r.table), simTargets, "cut of %d for %s, %s after it", cut, length, at-end)
			})
		}
	}
}

// In an outage of the store nobody can write, and all records may expire.
func TestTargetsStayUsableInAnOutageOfTheStore(t *testing.T) {
	for _, length := range cutLengths {
		end := cutAt + length
		s, r := &store{outage: period{cutAt, end}}, newReader(period{})
		run(s, r, end+4*time.Second, func(at time.Duration) {
			if at < 3*time.Second {
				return
			}
			assert.Equal(t, usable(r.table), simTargets, "outage of %s, %s after it", length, at-end)
		})
	}
}

// A target that has gone down in a cut or an outage is dropped at the end of the grace period.
func TestTargetThatEndedInAnOutageIsDroppedAfterTheGracePeriod(t *testing.T) {
	end := cutAt + 5*time.Second
	s, r := &store{outage: period{cutAt, end}, cutOff: period{cutAt, time.Hour}, cut: 1}, newReader(period{})
	run(s, r, end+5*time.Second, func(at time.Duration) {
		assert.Assert(t, at < end+retryWait+GracePeriod+2*simTick || !has(r.table, id(0)), "used %s after the outage", at-end)
	})
}

func expiredIn(failing bool) *Table {
	table := NewTable(Timing{Heartbeat: heartbeat})
	table.ReadSucceeded(start)
	table.PutUnordered(target("a"), start)
	if failing {
		table.ReadFailed()
	}
	return table
}

// A peer that is in touch with the store tells whether a record expired or was taken away.
func TestPeersTellWhetherARecordExpired(t *testing.T) {
	for _, c := range []struct {
		failing, expired, stays bool
	}{{true, true, true}, {true, false, false}, {false, true, false}, {false, false, false}} {
		table := expiredIn(c.failing)
		table.RemoveAsTold("a", c.expired, start.Add(5*time.Second))
		assert.Equal(t, has(table, "a"), c.stays, "%+v", c)
		table.Expire(start.Add(5*time.Second + GracePeriod))
		assert.Assert(t, !has(table, "a"))
	}
}

// A gateway that had not been cut off itself was handed the grace period of one that had.
func TestGracePeriodAfterACutIsNotHandedOn(t *testing.T) {
	s, r := &store{}, newReader(period{cutAt, cutAt + 4*time.Second})
	run(s, r, cutAt+8*time.Second, func(at time.Duration) {
		assert.Equal(t, r.table.GraceRemaining(start.Add(at)), time.Duration(0))
	})
}
