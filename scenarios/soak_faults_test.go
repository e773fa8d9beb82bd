//go:build scenarios

package scenarios

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"quetzalbend/platform"
	"quetzalbend/platform/platformtest"
)

// fault is one fault of a run. It begins after delay and lasts for duration.
type fault struct {
	delay, duration time.Duration
	begin, end      func()
}

func (f fault) inject() {
	time.Sleep(f.delay)
	f.begin()
	time.Sleep(f.duration)
	f.end()
}

func (s *soak) drawFault() fault {
	f := fault{duration: time.Duration(s.random.Int64N(int64(soakMaxFault)))}
	f.delay = time.Duration(s.random.Int64N(int64(soakFaultTime - f.duration)))
	f.end = func() {}
	g := s.gateways[s.random.IntN(len(s.gateways))]
	switch s.random.IntN(9) {
	case 0, 1:
		s.impairLink(&f, g.storeLink)
	case 2, 3:
		s.impairLink(&f, s.targetLinks[s.random.IntN(len(s.targetLinks))])
	case 4:
		f.begin, f.end = func() { s.freeze(g, true) }, func() { s.freeze(g, false) }
	case 5:
		s.restart(&f, g, []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[s.random.IntN(2)])
	case 6:
		f.begin, f.end = func() { s.store.SetDown(true) }, func() { s.store.SetDown(false) }
	case 7:
		version := 2 + s.random.IntN(90)
		f.begin = func() { s.putSettings(version); s.store.Compact(platform.TopicTargets) }
	default:
		target := s.targets[s.random.IntN(len(s.targets))]
		behaviors := make([]platformtest.Behavior, 6)
		for i := range behaviors {
			behaviors[i] = platformtest.Behavior(s.random.IntN(int(platformtest.WrongTarget) + 1))
		}
		f.begin = func() { target.QueueBehaviors(behaviors...) }
	}
	return f
}

// drawCrash returns a crash of a target, which runs again after soakDowntime.
func (s *soak) drawCrash(random *rand.Rand) fault {
	target := s.targets[random.IntN(len(s.targets))]
	return fault{
		delay:    time.Duration(random.Int64N(int64(soakFaultTime - soakDowntime))),
		duration: soakDowntime,
		begin:    target.Crash,
		end:      func() {},
	}
}

// drawRestore returns a fault after which the store comes back from a copy that was made
// when the fault began.
func (s *soak) drawRestore(random *rand.Rand) fault {
	duration := time.Duration(random.Int64N(int64(soakMaxFault)))
	var held platformtest.Copy
	return fault{
		delay:    time.Duration(random.Int64N(int64(soakFaultTime - duration))),
		duration: duration,
		begin:    func() { held = s.store.Copy() },
		end:      func() { s.store.RestoreWrittenAgain(held, platform.TopicSettings, platform.TopicTargets) },
	}
}

// drawRest returns a fault in which a target rejects all and asks for rest.
func (s *soak) drawRest(random *rand.Rand) fault {
	target := s.targets[random.IntN(len(s.targets))]
	duration := time.Duration(random.Int64N(int64(soakMaxFault)))
	return fault{
		delay:    time.Duration(random.Int64N(int64(soakFaultTime - duration))),
		duration: duration,
		begin:    func() { target.SetRest(soakRest) },
		end:      func() { target.SetRest("") },
	}
}

func (s *soak) impairLink(f *fault, l *soakLink) {
	kinds := []impairment{{delay: 80 * time.Millisecond}, {reset: true}, {holdTo: true}, {holdFrom: true}, {holdTo: true, holdFrom: true}}
	kind := kinds[s.random.IntN(len(kinds))]
	f.begin = func() { l.set(kind) }
	f.end = func() { l.set(impairment{}) }
}

// restart signals a gateway's process to end, and starts a new one once it has
// ended. The start fails without consequence if an overlapping fault has already
// started one.
func (s *soak) restart(f *fault, g *gatewayProcess, signal syscall.Signal) {
	var ending *process
	f.begin = func() {
		g.noteFault(1)
		var err error
		if ending, err = s.processes.get(g.name); err != nil {
			s.t.Errorf("%s: %v", g.name, err)
		}
		if err := s.processes.signal(g.name, signal); err != nil {
			s.t.Logf("%s not ended: %v", g.name, err)
		}
	}
	f.end = func() {
		defer g.noteFault(-1)
		<-ending.ended
		if err := s.start(g); err != nil {
			s.t.Logf("%s not started: %v", g.name, err)
		}
		s.awaitReady(g)
	}
}

// awaitReady waits until a restarted gateway serves, which it does only after it
// has received the settings.
func (s *soak) awaitReady(g *gatewayProcess) {
	until := time.Now().Add(soakFaultTime + soakRecovery)
	for time.Now().Before(until) {
		got := s.send(s.t.Context(), g, "/read/", fmt.Sprintf("ready-%s-%d", g.name, time.Now().UnixNano()), http.DefaultClient)
		if got.status == http.StatusOK {
			return
		}
		time.Sleep(soakPause)
	}
	s.t.Errorf("%s does not serve after its restart", g.name)
}
