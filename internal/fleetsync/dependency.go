package fleetsync

import (
	"sync/atomic"

	"quetzalbend/internal/eventlog"
)

// dependency tracks whether something that this process depends on is unavailable,
// and logs each change.
type dependency struct{ unavailable atomic.Bool }

// record records the outcome of an access to the dependency of the given name.
func (d *dependency) record(log *eventlog.Log, name string, err error) {
	before := d.unavailable.Swap(err != nil)
	switch {
	case err != nil && !before:
		log.Problem("dependency unavailable", err, eventlog.Fields{"dependency": name})
	case err == nil && before:
		log.State("dependency available again", eventlog.Fields{"dependency": name})
	}
}

func (d *dependency) isUnavailable() bool { return d.unavailable.Load() }
