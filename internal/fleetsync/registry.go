package fleetsync

import (
	"time"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/eventlog"
	"quetzalbend/platform"
)

// AddTargets applies registry records that follow those applied before. It reports false
// if it cannot, since the batch is from a newer era: the whole registry must then be read.
func (s *State) AddTargets(batch platform.Batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetsReadFailed = false
	if s.isOlder("registry", batch, s.targetsAt) {
		return true
	}
	if batch.Era > s.targetsAt.Era {
		return false
	}
	now := s.now()
	s.recordTargetsAt(batch.Position(), now, now)
	s.targets.ReadOn(now, countRecords(batch))
	read := recordSource{put: s.targets.Put, remove: s.targets.Remove}
	for _, record := range batch.Records {
		s.applyTarget(record, read, now)
	}
	s.publish()
	return true
}

// countRecords returns the number of records of each target in a batch.
func countRecords(batch platform.Batch) map[string]int {
	counts := make(map[string]int)
	for _, record := range batch.Records {
		if len(record.Value) > 0 {
			counts[record.Key]++
		}
	}
	return counts
}

// recordSource applies records to the table of targets, by where they were read.
type recordSource struct {
	put    func(target fleet.Target, now time.Time)
	remove func(id string, now time.Time) (expired bool)
}

// ReplaceTargets replaces the registry by the newest records of all targets.
func (s *State) ReplaceTargets(batch platform.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetsReadFailed = false
	if s.isOlder("registry", batch, s.targetsAt) {
		return
	}
	now := s.now()
	s.beginComplete(batch.Next)
	s.recordTargetsAt(batch.Position(), now, now)
	s.targets.ReadSucceeded(now)
	s.replaceTargets(batch.Records, recordSource{put: s.targets.PutUnordered, remove: s.targets.Remove}, now)
	s.publish()
}

// beginComplete records, before the first whole registry is applied, that all changes
// from an offset on will be known.
func (s *State) beginComplete(next int64) {
	if s.targetsAt.Next == 0 {
		s.records.completeSince = next
	}
}

// recordTargetsAt records that the registry is known up to a place.
func (s *State) recordTargetsAt(at platform.Position, now, asOf time.Time) {
	if at.Era > s.targetsAt.Era && !s.targetsAsOf.IsZero() {
		s.logNewEra("registry", at, s.targetsAt)
		s.records.beginEra(at.Next)
		s.targets.StoreRestored(now)
	}
	s.targetsAt = at
	s.targetsAsOf = later(s.targetsAsOf, asOf)
}

func (s *State) replaceTargets(records []platform.Record, from recordSource, now time.Time) {
	listed := make(map[string]bool, len(records))
	for _, record := range records {
		if s.applyTarget(record, from, now) {
			listed[record.Key] = true
		}
	}
	for _, id := range s.records.missing(listed) {
		s.removeTarget(id, from, now)
	}
}

// applyTarget applies one registry record. It reports false if the record removes a
// target or cannot be decoded.
func (s *State) applyTarget(record platform.Record, from recordSource, now time.Time) bool {
	if len(record.Value) == 0 {
		s.removeTarget(record.Key, from, now)
		return false
	}
	target, err := platform.DecodeTarget(record.Key, record.Value)
	if err != nil {
		s.log.Problem("registry record rejected", err, nil)
		return false
	}
	if s.records.outdated(target) {
		s.log.Decision("outdated registry record ignored", eventlog.Fields{"target": target.ID, "heartbeat": target.Heartbeat, "era": s.targetsAt.Era})
		return true
	}
	s.records.put(record.Value, target, s.targetsAt.Next)
	from.put(target, now)
	return true
}

func (s *State) removeTarget(id string, from recordSource, now time.Time) {
	expired := from.remove(id, now)
	s.records.remove(id, s.targetsAt.Next, expired)
	if s.targets.IsMissing(id) {
		s.log.State("record of a target is missing after an outage", eventlog.Fields{
			"target": id, "expired": expired, "offset": s.targetsAt.Next, "grace_ms": s.targets.GraceRemaining(now).Milliseconds(),
		})
	}
}

// RecordLeaving records that an incarnation of a target has said in an answer that it
// leaves.
func (s *State) RecordLeaving(id string, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.targets.MarkLeaving(id, born) {
		return
	}
	s.log.State("target says that it leaves", eventlog.Fields{"target": id, "born": born})
	s.publish()
}
