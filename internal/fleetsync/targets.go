package fleetsync

import (
	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/wire"
)

// maxGone is the largest number of removals that are kept.
const maxGone = 1000

// knownTarget is the newest record that changed a target. Later records that
// decode to the same target are heartbeats and do not replace it.
type knownTarget struct {
	raw       []byte
	target    fleet.Target
	changedAt int64 // registry offset reached when the record was read
}

// targetRecords holds the registry's records, so that a peer can get just those that
// have changed since it last read the registry.
type targetRecords struct {
	known         map[string]knownTarget
	gone          map[string]int64 // by id: registry offset reached when the removal was read
	completeSince int64            // all changes after this offset are known
	lastChange    int64            // offset reached when the newest change was read
}

func newTargetRecords() targetRecords {
	return targetRecords{known: make(map[string]knownTarget), gone: make(map[string]int64)}
}

// put applies a target's record. offset is the registry offset reached when the
// record was read.
func (t *targetRecords) put(raw []byte, target fleet.Target, offset int64) {
	known, ok := t.known[target.ID]
	if ok && known.target == target {
		return
	}
	t.known[target.ID] = knownTarget{raw, target, offset}
	delete(t.gone, target.ID)
	t.lastChange = offset
}

// remove applies the removal of a target. offset is the registry offset reached when
// the removal was read.
func (t *targetRecords) remove(id string, offset int64) {
	if _, ok := t.known[id]; !ok {
		return
	}
	delete(t.known, id)
	if len(t.gone) >= maxGone {
		clear(t.gone)
		t.completeSince = offset
	}
	t.gone[id] = offset
	t.lastChange = offset
}

// missing returns the ids of the known targets that are not in the given list.
func (t *targetRecords) missing(targets []fleet.Target) []string {
	listed := make(map[string]bool, len(targets))
	for _, target := range targets {
		listed[target.ID] = true
	}
	var missing []string
	for id := range t.known {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// share adds to shared the targets and removals that have changed since an offset, or
// all targets if not all changes since then are known.
func (t *targetRecords) share(shared *wire.FleetState, since int64) {
	shared.TargetsWhole = since < t.completeSince
	for id, known := range t.known {
		if shared.TargetsWhole || known.changedAt > since {
			shared.Targets = append(shared.Targets, &wire.StoredRecord{Key: id, Value: known.raw})
		}
	}
	for id, offset := range t.gone {
		if !shared.TargetsWhole && offset > since {
			shared.TargetsGone = append(shared.TargetsGone, id)
		}
	}
}
