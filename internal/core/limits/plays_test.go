package limits

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// play is a cluster in which requests of an account start and end at random.
type play struct {
	*cluster
	limit   int
	entry   *rapid.Generator[int]
	running [][]*Grant // by entry
}

func newPlay(entries, limit int) *play {
	return &play{
		cluster: newRoundCluster(entries, limit),
		limit:   limit,
		entry:   rapid.IntRange(0, entries-1),
		running: make([][]*Grant, entries),
	}
}

func (p *play) checkLimit(t *rapid.T) {
	count := 0
	for _, grants := range p.running {
		count += len(grants)
	}
	if count > p.limit {
		t.Fatalf("%d requests run where %d may", count, p.limit)
	}
}

func (p *play) startOne(t *rapid.T) {
	i := p.entry.Draw(t, "entry")
	if grant, _ := p.admit(i); grant != nil {
		p.running[i] = append(p.running[i], grant)
	}
}

func (p *play) startSome(t *rapid.T) {
	i := p.entry.Draw(t, "entry")
	for range rapid.IntRange(1, p.limit).Draw(t, "requests") {
		if grant, _ := p.admit(i); grant != nil {
			p.running[i] = append(p.running[i], grant)
		}
	}
}

func (p *play) endOne(t *rapid.T) {
	i := p.entry.Draw(t, "entry")
	if len(p.running[i]) > 0 {
		n := rapid.IntRange(0, len(p.running[i])-1).Draw(t, "request")
		p.end(i, p.running[i][n])
		p.running[i] = slices.Delete(p.running[i], n, n+1)
	}
}

func (p *play) endSome(t *rapid.T) {
	i := p.entry.Draw(t, "entry")
	n := rapid.IntRange(0, len(p.running[i])).Draw(t, "requests")
	for _, grant := range p.running[i][:n] {
		p.end(i, grant)
	}
	p.running[i] = p.running[i][n:]
}

// Requests start and end at any entry while entries are cut off and restarted.
func TestSmallConcurrencyLimitHoldsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(2, 6).Draw(t, "entries")
		p := newPlay(entries, rapid.IntRange(1, lendingFactor*entries-1).Draw(t, "limit"))
		isCut := false
		t.Repeat(map[string]func(*rapid.T){
			"":       p.checkLimit,
			"start":  p.startOne,
			"end":    p.endOne,
			"round":  func(*rapid.T) { p.round() },
			"report": func(t *rapid.T) { p.report(p.entry.Draw(t, "entry")) },
			"ask":    func(t *rapid.T) { p.askHeld(p.entry.Draw(t, "entry")) },
			"restart": func(t *rapid.T) {
				if !isCut { // a lender that restarts can't ask a borrower that is cut off
					i := p.entry.Draw(t, "entry")
					p.start(i)
					p.running[i] = nil
				}
			},
			"cut": func(t *rapid.T) {
				for i := range p.limiters {
					p.askHeld(i)
				}
				isCut = true
				i := p.entry.Draw(t, "entry")
				oneWay := rapid.Bool().Draw(t, "oneWay")
				p.blocked = func(from, to int) bool { return from == i || !oneWay && to == i }
			},
			"heal": func(*rapid.T) {
				isCut = false
				p.heal()
			},
		})
	})
}

// mail holds the reports that are on their way, by sender and receiver.
type mail map[[2]int][]Report

func (m mail) send(p *play, from int) {
	report := p.limiters[from].Report(p.now)
	for to := range p.limiters {
		if to != from {
			m[[2]int{from, to}] = append(m[[2]int{from, to}], report)
		}
	}
}

// take removes the oldest report from one entry to another.
func (m mail) take(from, to int) (Report, bool) {
	pair := [2]int{from, to}
	if len(m[pair]) == 0 {
		return Report{}, false
	}
	report := m[pair][0]
	m[pair] = m[pair][1:]
	return report, true
}

// deliver delivers the oldest report from one entry to another.
func (m mail) deliver(p *play, from, to int) bool {
	report, found := m.take(from, to)
	if found {
		p.deliver(from, to, report)
	}
	return found
}

// Requests start and end at any entry, and reports take their time or are lost.
func TestLargeConcurrencyLimitHoldsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(2, 4).Draw(t, "entries")
		p := newPlay(entries, lendingFactor*entries+rapid.IntRange(0, 10).Draw(t, "more"))
		m := make(mail)
		t.Repeat(map[string]func(*rapid.T){
			"":        p.checkLimit,
			"start":   p.startSome,
			"end":     p.endSome,
			"report":  func(t *rapid.T) { m.send(p, p.entry.Draw(t, "entry")) },
			"deliver": func(t *rapid.T) { m.deliver(p, p.entry.Draw(t, "from"), p.entry.Draw(t, "to")) },
			"lose":    func(t *rapid.T) { m.take(p.entry.Draw(t, "from"), p.entry.Draw(t, "to")) },
			"round": func(*rapid.T) {
				p.now = p.now.Add(time.Millisecond) // no entry becomes absent
				for i := range entries {
					m.send(p, i)
				}
				for i := range entries {
					for j := range entries {
						for m.deliver(p, i, j) {
						}
					}
				}
			},
		})
	})
}
