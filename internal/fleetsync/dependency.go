package fleetsync

import (
	"sync/atomic"

	"quetzalbend/internal/eventlog"
)

// dependency remembers whether something outside is lost, and logs each change.
type dependency struct{ away atomic.Bool }

func (d *dependency) note(log *eventlog.Log, name string, err error) {
	was := d.away.Swap(err != nil)
	switch {
	case err != nil && !was:
		log.Problem("dependency lost", err, eventlog.Fields{"dependency": name})
	case err == nil && was:
		log.State("dependency regained", eventlog.Fields{"dependency": name})
	}
}

func (d *dependency) isAway() bool { return d.away.Load() }
