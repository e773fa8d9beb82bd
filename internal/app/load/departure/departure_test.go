package departure

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/app/load/caller"
)

func TestOutcomesCountInThePhaseInWhichTheyWereDue(t *testing.T) {
	start := time.Now().Add(-10 * time.Second)
	line := &timeline{start: start, spans: []span{{Before, 4 * time.Second}, {Leaving, 6 * time.Second}, {Out, 20 * time.Second}, {Returning, time.Minute}}}
	s := newSamples(line)
	s.add(Interactive, start.Add(time.Second), &caller.Outcome{Complete: true, Total: 3 * time.Second, FirstToken: time.Second, Gaps: []time.Duration{20 * time.Millisecond}})
	s.add(Interactive, start.Add(5*time.Second), &caller.Outcome{Ran: caller.RanNo})
	s.add(Interactive, start.Add(5*time.Second), &caller.Outcome{Ran: caller.RanUnknown})
	cells := s.report()
	assert.Equal(t, len(cells), 2)
	before, leaving := cells[0], cells[1]
	assert.Equal(t, before.Phase, Before)
	assert.Equal(t, before.Goodput, 1.0)
	// Due 9 s ago and ended now; the first token came 2 s before the end.
	assert.Assert(t, before.P50MS > 6900 && before.P50MS < 7200, "%g", before.P50MS)
	assert.Assert(t, before.BetweenP95MS > 19 && before.BetweenP95MS < 21, "%g", before.BetweenP95MS)
	assert.Equal(t, leaving.Offered, int64(2))
	assert.Equal(t, leaving.Refused, int64(1))
	assert.Equal(t, leaving.Failed, int64(2))
	assert.Equal(t, leaving.Lost, int64(1))
}

func TestFlagsAreChecked(t *testing.T) {
	good := Command{Modes: "setting,cut,kill", Variants: "quetzalbend", PhaseSeconds: 6}
	assert.NilError(t, good.check())
	for what, change := range map[string]func(*Command){
		"mode":          func(c *Command) { c.Modes = "flood" },
		"variant":       func(c *Command) { c.Variants = "best" },
		"phase-seconds": func(c *Command) { c.PhaseSeconds = 2 },
	} {
		c := good
		change(&c)
		assert.ErrorContains(t, c.check(), what)
	}
}

func TestResultPrintsARowForEachCell(t *testing.T) {
	result := Result{Runs: []Run{{Variant: "quetzalbend", Mode: "cut", Cells: []Cell{{Class: Batch, Phase: Out, Offered: 7}}, Doubled: 2}}}
	var out bytes.Buffer
	assert.NilError(t, result.print(&out))
	assert.Assert(t, strings.Contains(out.String(), "2 doubled"))
	assert.Assert(t, strings.Contains(out.String(), "batch"))
}
