package fleetsync

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/platform"
)

func inEra(era, next int64, records ...platform.Record) platform.Batch {
	return platform.Batch{Era: era, Next: next, Records: records}
}

func settingsRecord(version int) platform.Record {
	return platform.Record{Key: platform.KeySettings, Value: fmt.Appendf(nil, `{"version":%d}`, version)}
}

func targetIn(state, id string, heartbeat int) platform.Record {
	value := fmt.Sprintf(`{"service":"app","address":"10.0.0.1:80","zone":"d1","slots":6,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":5}`, state, heartbeat)
	return platform.Record{Key: id, Value: []byte(value)}
}

// A gateway that was past the end of the restored store never applied a record again.
func TestRecordsOfANewEraAreReadFromTheStart(t *testing.T) {
	s := newTestState(&clock{start})
	s.ReplaceSettings(inEra(1, 9, settingsRecord(7)))
	assert.Assert(t, !s.AddSettings(inEra(2, 9, settingsRecord(8))), "records before offset 9 are not known in era 2")
	assert.Equal(t, s.settings.Version, int64(7))
	s.ReplaceSettings(inEra(2, 4, settingsRecord(8)))
	assert.Equal(t, s.settings.Version, int64(8))
	assert.Assert(t, s.AddSettings(inEra(1, 12, settingsRecord(9))))
	assert.Equal(t, s.settings.Version, int64(8), "a late answer of the earlier era is void")
}

// Peers were told the older settings of the store's copy although a newer version was in
// force.
func TestPeersAreToldTheSettingsInForceNotThoseOfTheCopy(t *testing.T) {
	c := &clock{start}
	s, other := newTestState(c), newTestState(c)
	s.ReplaceSettings(inEra(1, 9, settingsRecord(7)))
	s.ReplaceSettings(inEra(2, 4, settingsRecord(3)))
	other.Merge(s.Share(other.SettingsAt(), other.TargetsAt()))
	assert.Equal(t, other.settings.Version, int64(7))
}

// A target that was known to leave was used again when the store's copy called it ready.
func TestLeavingTargetIsNotUsedAgainAfterTheStoreCameBackOlder(t *testing.T) {
	s := newTestState(&clock{start})
	s.ReplaceTargets(inEra(1, 9, targetIn("draining", "a", 8), targetIn("ready", "b", 8), targetIn("ready", "c", 8)))
	s.AddTargets(inEra(1, 10, platform.Record{Key: "b"}))
	s.ReplaceTargets(inEra(2, 4, targetIn("ready", "a", 3), targetIn("ready", "b", 3), targetIn("ready", "c", 3)))
	assert.Equal(t, usable(s), 1)
	s.AddTargets(inEra(2, 5, targetIn("ready", "b", 9)))
	assert.Equal(t, usable(s), 2, "a target that lives writes on")
}

// A live target that the store's copy lacks was dropped until it had written again.
func TestTargetThatTheCopyLacksStaysUsableUntilItCanHaveWrittenAgain(t *testing.T) {
	c := &clock{start}
	s := newTestState(c)
	s.ReplaceTargets(inEra(1, 9, targetIn("ready", "a", 8), targetIn("ready", "b", 1)))
	s.ReplaceTargets(inEra(2, 4, targetIn("ready", "a", 3)))
	assert.Equal(t, usable(s), 2)
	c.now = start.Add(3 * time.Second)
	s.AddTargets(inEra(2, 4))
	assert.Equal(t, usable(s), 1)
}

// A domain was in use again when the store's copy lacked its evacuation.
func TestEvacuationThatTheCopyLacksStaysInForceUntilItCanHaveBeenWrittenAgain(t *testing.T) {
	c := &clock{start}
	s := newTestState(c)
	evacuation := platform.Record{Key: platform.PrefixEvacuated + "d1", Value: []byte("{}")}
	lifted := platform.Record{Key: evacuation.Key}
	s.ReplaceTargets(inEra(1, 1, targetIn("ready", "a", 1)))
	s.ReplaceSettings(inEra(1, 9, settingsRecord(7), evacuation))
	s.ReplaceSettings(inEra(2, 4, settingsRecord(7)))
	assert.Equal(t, usable(s), 0)
	s.AddSettings(inEra(2, 6, evacuation, lifted))
	assert.Equal(t, usable(s), 1, "it was written again and lifted")

	s.AddSettings(inEra(2, 7, evacuation))
	s.ReplaceSettings(inEra(3, 6, settingsRecord(7)))
	assert.Equal(t, usable(s), 0)
	c.now = start.Add(3 * time.Second)
	s.AddSettings(inEra(3, 6))
	assert.Equal(t, usable(s), 1, "it was not written again")
}

// world is a store that goes back, with an operator and targets that write what was lost
// again, and gateways that read it late and tell each other what they know.
type world struct {
	t      *testing.T
	random *rand.Rand
	clock  *clock

	era      int64
	settings []platform.Record
	targets  []platform.Record
	copies   [][2]int // lengths of both topics at earlier moments of this era

	version   int
	heartbeat int
	live      map[string]string // state by target

	gateways []*gateway
}

// gateway follows the store as a Follower does, with answers that take any time.
type gateway struct {
	*State
	incremental [2]bool // of settings and targets
	inFlight    []func()
	version     int64
	left        map[string]bool // targets that it has known to leave
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), clock: &clock{start}, era: 1, live: make(map[string]string)}
	w.change()
	for range 4 {
		w.gateways = append(w.gateways, &gateway{State: newTestState(w.clock), left: make(map[string]bool)})
	}
	return w
}

func (w *world) writeTarget(id, state string) {
	w.heartbeat++
	w.targets = append(w.targets, targetIn(state, id, w.heartbeat))
}

// change writes a new version, or a target that comes, leaves or is gone.
func (w *world) change() {
	w.copies = append(w.copies, [2]int{len(w.settings), len(w.targets)})
	id := fmt.Sprint("i-", w.random.IntN(40))
	switch state := w.live[id]; {
	case w.random.IntN(3) == 0 || w.version == 0:
		w.version++
		w.settings = append(w.settings, settingsRecord(w.version))
	case state == "":
		w.live[id] = "ready"
		w.writeTarget(id, "ready")
	case state == "ready":
		w.live[id] = "draining"
		w.writeTarget(id, "draining")
	case state == "draining":
		w.live[id] = "gone"
		w.targets = append(w.targets, platform.Record{Key: id})
	}
}

// restore brings the store back to an earlier moment. What is lost is written again later.
func (w *world) restore() (rewrite func()) {
	held := w.copies[w.random.IntN(len(w.copies))]
	w.era++
	w.settings, w.targets = slices.Clone(w.settings[:held[0]]), slices.Clone(w.targets[:held[1]])
	w.copies = nil
	version, live := w.version, maps.Clone(w.live)
	return func() {
		w.settings = append(w.settings, settingsRecord(version))
		for _, id := range slices.Sorted(maps.Keys(live)) {
			if live[id] == "gone" {
				w.targets = append(w.targets, platform.Record{Key: id})
			} else {
				w.writeTarget(id, live[id])
			}
		}
		w.copies = append(w.copies, [2]int{len(w.settings), len(w.targets)})
	}
}

func newestOf(log []platform.Record) []platform.Record {
	newest := make(map[string]platform.Record)
	for _, record := range log {
		newest[record.Key] = record
		if len(record.Value) == 0 {
			delete(newest, record.Key)
		}
	}
	return slices.Collect(maps.Values(newest))
}

// read asks the store for a topic. The answer is applied when the function runs.
func (w *world) read(g *gateway, topic int) func() {
	log, at := w.settings, g.SettingsAt()
	if topic == 1 {
		log, at = w.targets, g.TargetsAt()
	}
	end := int64(len(log))
	whole := platform.Batch{Era: w.era, Next: end, Records: newestOf(log)}
	switch {
	case !g.incremental[topic]:
		return func() {
			if topic == 0 {
				g.ReplaceSettings(whole)
			} else {
				g.ReplaceTargets(whole)
			}
			g.incremental[topic] = true
		}
	case at.Next > end:
		return func() { g.incremental[topic] = false }
	}
	batch := platform.Batch{Era: w.era, Next: end, Records: slices.Clone(log[at.Next:])}
	return func() {
		if topic == 0 {
			g.incremental[topic] = g.AddSettings(batch)
		} else {
			g.incremental[topic] = g.AddTargets(batch)
		}
	}
}

func (w *world) step() {
	g := w.gateways[w.random.IntN(len(w.gateways))]
	peer := w.gateways[w.random.IntN(len(w.gateways))]
	switch w.random.IntN(4) {
	case 0:
		if len(g.inFlight) < 2 {
			g.inFlight = append(g.inFlight, w.read(g, w.random.IntN(2)))
		}
	case 1, 2:
		w.deliver(g)
	case 3:
		g.Merge(peer.Share(g.SettingsAt(), g.TargetsAt()))
	}
	w.check(g)
}

func (w *world) deliver(g *gateway) {
	if len(g.inFlight) > 0 {
		answer := g.inFlight[0]
		g.inFlight = g.inFlight[1:]
		answer()
	}
}

func (w *world) check(g *gateway) {
	view := g.View()
	if view == nil {
		return
	}
	assert.Assert(w.t, view.Settings.Version >= g.version, "version %d after %d", view.Settings.Version, g.version)
	g.version = view.Settings.Version
	for _, target := range view.Targets["app"] {
		assert.Assert(w.t, !g.left[target.ID], "%s is used although it was known to leave", target.ID)
	}
	for _, target := range view.All {
		if target.Draining {
			g.left[target.ID] = true
		}
	}
}

// settle lets every gateway read all, before and after the grace period, and checks that
// it knows what the store holds.
func (w *world) settle() {
	for _, g := range w.gateways {
		w.readAll(g)
	}
	w.clock.now = w.clock.now.Add(3 * time.Second)
	ready := 0
	for _, state := range w.live {
		if state == "ready" {
			ready++
		}
	}
	for _, g := range w.gateways {
		w.readAll(g)
		w.check(g)
		assert.Equal(w.t, g.View().Settings.Version, int64(w.version))
		assert.Equal(w.t, len(g.View().Targets["app"]), ready)
	}
}

// readAll lets a gateway read both topics to their ends.
func (w *world) readAll(g *gateway) {
	for len(g.inFlight) > 0 {
		w.deliver(g)
	}
	for range 4 {
		for topic := range 2 {
			w.read(g, topic)()
		}
	}
}

// Gateways that learnt of the store's return at different times told each other void
// offsets, and kept settings and targets that were no longer in force.
func TestGatewaysAgreeWithAStoreThatGoesBack(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newWorld(t, seed).run() })
	}
}

// run plays changes, returns of the store and the gateways' reads in random order.
func (w *world) run() {
	for range 12 {
		for range 1 + w.random.IntN(30) {
			w.change()
			w.step()
		}
		if w.random.IntN(2) == 0 {
			rewrite := w.restore()
			w.steps()
			rewrite()
		}
		w.steps()
		w.settle()
	}
}

func (w *world) steps() {
	for range w.random.IntN(12) {
		w.step()
	}
}
