//go:build scenarios

package scenarios

import (
	"syscall"
	"time"

	"quetzalbend/platform"
)

// coldCase is a kind of fault.
type coldCase struct {
	name   string
	faults func(f *coldFleet) []fault
}

var coldKinds = []coldCase{
	{"short of processor", (*coldFleet).shortOfProcessor},
	{"late targets", (*coldFleet).lateTargets},
	{"new targets", (*coldFleet).newTargets},
	{"store cut", (*coldFleet).storeCut},
	{"joins", (*coldFleet).joins},
	{"restarts", (*coldFleet).restarts},
	{"restarts behind a cut", (*coldFleet).restartsBehindCut},
}

var coldCases = append([]coldCase{
	{"calm", func(*coldFleet) []fault { return nil }},
	{"mixed", (*coldFleet).mixed},
}, coldKinds...)

const coldFaultsAt = time.Second // from the first requests to the first fault

// within draws a time.
func (f *coldFleet) within(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(f.random.Int64N(int64(longest-shortest)))
}

// mixed returns the faults of two kinds.
func (f *coldFleet) mixed() []fault {
	var faults []fault
	for _, i := range f.random.Perm(len(coldKinds))[:2] {
		faults = append(faults, coldKinds[i].faults(f)...)
	}
	return faults
}

// shortOfProcessor lets each gateway run for a few milliseconds between stops.
func (f *coldFleet) shortOfProcessor() []fault {
	var faults []fault
	for _, g := range f.all() {
		for at := coldFaultsAt; at < coldRun-300*time.Millisecond; at += f.within(10*time.Millisecond, 100*time.Millisecond) {
			length := f.within(10*time.Millisecond, 250*time.Millisecond)
			faults = append(faults, f.stop(g, at, length))
			at += length
		}
	}
	return faults
}

func (f *coldFleet) stop(g *gatewayProcess, at, length time.Duration) fault {
	return fault{
		delay: at, duration: length,
		begin: func() { f.freeze(g, true) }, end: func() { f.freeze(g, false) },
	}
}

// lateTargets lets targets read requests late.
func (f *coldFleet) lateTargets() []fault {
	const late = 300 * time.Millisecond
	var faults []fault
	for _, target := range f.targets {
		faults = append(faults, fault{
			duration: coldRun,
			begin:    func() { target.times.setLate(late) },
			end:      func() { target.times.setLate(0) },
		})
	}
	return faults
}

// newTargets replaces the targets, while some gateways learn of that late.
func (f *coldFleet) newTargets() []fault {
	var faults []fault
	for _, g := range f.all() {
		if f.random.IntN(3) == 0 {
			faults = append(faults, f.cut(g, impairment{holdFrom: true}, coldFaultsAt, f.within(0, 2*time.Second)))
		}
	}
	for i, target := range f.targets {
		faults = append(faults, fault{delay: coldFaultsAt + time.Duration(i)*500*time.Millisecond, begin: func() {
			f.store.Put(platform.TopicTargets, target.ID, nil)
			f.addTarget()
		}, end: func() {}})
	}
	return faults
}

func (f *coldFleet) cut(g *gatewayProcess, kind impairment, at, length time.Duration) fault {
	return fault{
		delay: at, duration: length,
		begin: func() { g.storeLink.set(kind) }, end: func() { g.storeLink.set(impairment{}) },
	}
}

// storeCut cuts and slows the links to the store at times.
func (f *coldFleet) storeCut() []fault {
	kinds := []impairment{{reset: true}, {holdFrom: true}, {holdTo: true}, {delay: 200 * time.Millisecond}}
	var faults []fault
	for _, g := range f.all() {
		for range 2 {
			kind := kinds[f.random.IntN(len(kinds))]
			faults = append(faults, f.cut(g, kind, f.within(coldFaultsAt, 2500*time.Millisecond), f.within(0, 800*time.Millisecond)))
		}
	}
	return faults
}

// joins adds gateways while the others are stopped and cannot hear of them.
func (f *coldFleet) joins() []fault {
	const joins = 12
	var faults []fault
	for _, g := range f.all() {
		faults = append(faults, f.stop(g, coldFaultsAt, 2*time.Second))
	}
	return append(faults, fault{delay: coldFaultsAt + 100*time.Millisecond, begin: func() {
		for range joins {
			f.addGateway()
		}
	}, end: func() {}})
}

// restarts kills all gateways and starts them at once, several times within a second.
func (f *coldFleet) restarts() []fault {
	const kills = 5
	first, gap := f.within(coldFaultsAt, 2*time.Second), f.within(220*time.Millisecond, 280*time.Millisecond)
	var faults []fault
	for _, g := range f.all() {
		for i := range kills {
			faults = append(faults, f.kill(g, first+time.Duration(i)*gap))
		}
	}
	return faults
}

// restartsBehindCut restarts most gateways while none reaches the store.
func (f *coldFleet) restartsBehindCut() []fault {
	var faults []fault
	for _, g := range f.all() {
		faults = append(faults, f.cut(g, impairment{reset: true}, coldFaultsAt, 2500*time.Millisecond))
		if f.random.IntN(10) > 0 {
			faults = append(faults, f.kill(g, coldFaultsAt+500*time.Millisecond))
		}
	}
	return faults
}

// kill kills a gateway and starts it again.
func (f *coldFleet) kill(g *gatewayProcess, at time.Duration) fault {
	return fault{delay: at, begin: func() {
		ending, err := f.processes.get(g.name)
		if err != nil {
			f.t.Errorf("%s: %v", g.name, err)
			return
		}
		if err := f.processes.signal(g.name, syscall.SIGKILL); err != nil {
			f.t.Logf("%s not killed: %v", g.name, err)
		}
		<-ending.ended
		if err := f.start(g); err != nil {
			f.t.Logf("%s not started: %v", g.name, err)
		}
	}, end: func() {}}
}
