package fleetsync

import (
	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/wire"
)

// maxGone is the largest number of removals that are kept.
const maxGone = 1000

// knownTarget is the newest record that changed a target. Later records that
// decode to the same target are heartbeats and replace only their number.
type knownTarget struct {
	raw       []byte
	target    fleet.Target
	changedAt int64 // registry offset reached when the record was read
}

// goneTarget is a target whose record was removed.
type goneTarget struct {
	knownTarget
	removedAt int64 // registry offset reached when the removal was read
	expired   bool  // its record expired, by the order of the log
}

// targetRecords holds the registry's records, so that a peer can get just those that
// have changed since it last read the registry.
type targetRecords struct {
	known         map[string]knownTarget
	gone          map[string]goneTarget
	completeSince int64 // all changes after this offset are known
	lastChange    int64 // offset reached when the newest change was read
}

func newTargetRecords() targetRecords {
	return targetRecords{known: make(map[string]knownTarget), gone: make(map[string]goneTarget)}
}

// beginEra makes all that is known count as changed at an offset of a new era, in which
// the offsets so far mean nothing.
func (t *targetRecords) beginEra(offset int64) {
	for id, known := range t.known {
		known.changedAt = offset
		t.known[id] = known
	}
	for id, gone := range t.gone {
		gone.removedAt = offset
		t.gone[id] = gone
	}
	t.completeSince, t.lastChange = offset, offset
}

// outdated reports whether a record is older than one that was read before the store
// came back from a copy, by this gateway or by the peer that has told it.
func (t *targetRecords) outdated(target fleet.Target) bool {
	if known, ok := t.known[target.ID]; ok {
		return target.Outdated(known.target)
	}
	return target.Outdated(t.gone[target.ID].target)
}

// put applies a target's record. offset is the registry offset reached when the
// record was read.
func (t *targetRecords) put(raw []byte, target fleet.Target, offset int64) {
	known, ok := t.known[target.ID]
	if ok && known.target.SameExceptHeartbeat(target) {
		known.target = target
		t.known[target.ID] = known
		return
	}
	t.known[target.ID] = knownTarget{raw, target, offset}
	delete(t.gone, target.ID)
	t.lastChange = offset
}

// remove applies the removal of a target. offset is the registry offset reached when
// the removal was read, and expired tells whether its record expired.
func (t *targetRecords) remove(id string, offset int64, expired bool) {
	known, ok := t.known[id]
	if !ok {
		return
	}
	delete(t.known, id)
	if len(t.gone) >= maxGone {
		clear(t.gone)
		t.completeSince = offset
	}
	t.gone[id] = goneTarget{known, offset, expired}
	t.lastChange = offset
}

// missing returns the ids of the known targets that are not among those listed.
func (t *targetRecords) missing(listed map[string]bool) []string {
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
	for id, gone := range t.gone {
		if !shared.TargetsWhole && gone.removedAt > since {
			shared.TargetsGone = append(shared.TargetsGone, id)
		}
		if gone.expired && (shared.TargetsWhole || gone.removedAt > since) {
			shared.TargetsExpired = append(shared.TargetsExpired, id)
		}
	}
}
