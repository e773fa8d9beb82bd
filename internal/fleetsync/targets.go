package fleetsync

import (
	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/wire"
)

// goneMost bounds the removals that are remembered.
const goneMost = 1000

// knownTarget is a target's newest record that says something new. Records that
// only repeat it are heartbeats.
type knownTarget struct {
	raw     []byte
	target  fleet.Target
	changed int64 // offset that the registry was read up to with that record
}

// targetRecords holds the registry's records, so that a peer can be given those
// that have changed since it read the registry.
type targetRecords struct {
	known    map[string]knownTarget
	gone     map[string]int64 // offset that the registry was read up to with the removal
	complete int64            // changes since this offset are all known
	changed  int64            // offset of the newest change
}

func newTargetRecords() targetRecords {
	return targetRecords{known: make(map[string]knownTarget), gone: make(map[string]int64)}
}

// put takes a record that was read up to an offset.
func (t *targetRecords) put(raw []byte, target fleet.Target, offset int64) {
	known, ok := t.known[target.ID]
	if ok && known.target == target {
		return
	}
	t.known[target.ID] = knownTarget{raw, target, offset}
	delete(t.gone, target.ID)
	t.changed = offset
}

// remove takes a removal that was read up to an offset.
func (t *targetRecords) remove(id string, offset int64) {
	if _, ok := t.known[id]; !ok {
		return
	}
	delete(t.known, id)
	if len(t.gone) >= goneMost {
		clear(t.gone)
		t.complete = offset
	}
	t.gone[id] = offset
	t.changed = offset
}

// missing returns the known targets that are not among the given ones.
func (t *targetRecords) missing(targets []fleet.Target) []string {
	present := make(map[string]bool, len(targets))
	for _, target := range targets {
		present[target.ID] = true
	}
	var missing []string
	for id := range t.known {
		if !present[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// share adds to shared what has changed since an offset, or everything if not
// all changes since then are known.
func (t *targetRecords) share(shared *wire.FleetState, since int64) {
	shared.TargetsWhole = since < t.complete
	for id, known := range t.known {
		if shared.TargetsWhole || known.changed > since {
			shared.Targets = append(shared.Targets, &wire.StoredRecord{Key: id, Value: known.raw})
		}
	}
	for id, offset := range t.gone {
		if !shared.TargetsWhole && offset > since {
			shared.TargetsGone = append(shared.TargetsGone, id)
		}
	}
}
