package fleetsync

import (
	"sync"
	"sync/atomic"
	"time"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
)

// View is an immutable snapshot of what a gateway knows about the fleet.
type View struct {
	Settings  *fleet.Settings
	Targets   map[string][]registry.Usable // usable ones, by service
	All       []fleet.Target
	Evacuated map[string]bool // failure domains whose targets get no requests
}

// State is the current state of the settings and the registry, built from the records
// that were read from the store, directly or through a peer.
type State struct {
	log  *eventlog.Log
	now  func() time.Time
	view atomic.Pointer[View]

	mu              sync.Mutex
	settings        *fleet.Settings
	settingsRaw     []byte            // the record of the settings in force
	settingsRecords map[string][]byte // newest record of each key
	settingsAt      platform.Position // place from which to continue reading; zero: nothing read yet
	held            heldEvacuations
	targets         *registry.Table
	records         targetRecords
	targetsAt       platform.Position
	settingsAsOf    time.Time // when all settings were last known; zero: never
	targetsAsOf     time.Time // when the whole registry was last known; zero: never

	settingsReadFailed bool // the last own read of the settings in the store failed
	targetsReadFailed  bool // the last own read of the registry in the store failed
}

// NewState returns a state without settings and targets.
func NewState(log *eventlog.Log, now func() time.Time, timing registry.Timing) *State {
	return &State{
		log: log, now: now,
		settingsRecords: make(map[string][]byte),
		targets:         registry.NewTable(timing),
		records:         newTargetRecords(),
	}
}

// View returns the current view, or nil until settings and targets are known.
func (s *State) View() *View { return s.view.Load() }

// SettingsAt returns the place from which to continue reading settings.
func (s *State) SettingsAt() platform.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settingsAt
}

// TargetsAt returns the place from which to continue reading the registry.
func (s *State) TargetsAt() platform.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targetsAt
}

// isOlder reports, and logs, whether a batch ends before the place up to which its topic
// was read.
func (s *State) isOlder(of string, batch platform.Batch, known platform.Position) bool {
	older := batch.Position().Before(known)
	if older {
		s.log.Decision("older records ignored", eventlog.Fields{
			"of": of, "era": batch.Era, "end": batch.Next, "known_era": known.Era, "next": known.Next, "records": len(batch.Records),
		})
	}
	return older
}

// logNewEra logs that a topic was read in a newer era of the store, which may have
// lost what was acknowledged in the era before.
func (s *State) logNewEra(of string, at, known platform.Position) {
	s.log.State("store came back from a copy", eventlog.Fields{
		"of": of, "era": at.Era, "end": at.Next, "known_era": known.Era, "next": known.Next,
	})
}

// RecordSettingsReadFailure records that the settings could not be read from the store.
func (s *State) RecordSettingsReadFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settingsReadFailed = true
}

// RecordTargetsReadFailure records that the registry could not be read from the store.
func (s *State) RecordTargetsReadFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetsReadFailed = true
	s.targets.ReadFailed()
}

// publish makes a new view of the state, once both settings and targets are known.
func (s *State) publish() {
	if s.settings == nil || s.targetsAsOf.IsZero() {
		return
	}
	evacuated := s.evacuated()
	s.view.Store(&View{
		Settings:  s.settings,
		Targets:   s.targets.Usable(evacuated),
		All:       s.targets.All(),
		Evacuated: evacuated,
	})
}

// nothingRead is the offset of a peer that has read nothing of the registry in this era.
const nothingRead = -1

// Share returns what is newer than the places up to which a peer has read.
func (s *State) Share(settingsAt, targetsAt platform.Position) *wire.FleetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	shared := &wire.FleetState{
		SettingsNext:      s.settingsAt.Next,
		TargetsNext:       s.targetsAt.Next,
		Read:              s.readState(),
		TargetsSettlingMs: s.targets.GraceRemaining(s.now()).Milliseconds(),
	}
	if settingsAt.Before(s.settingsAt) {
		shared.Settings = storedRecords(s.settingsRecords)
	}
	switch {
	case targetsAt.Era < s.targetsAt.Era:
		s.records.share(shared, nothingRead)
	case targetsAt.Before(s.targetsAt):
		s.records.share(shared, targetsAt.Next)
	}
	return shared
}

func storedRecords(raw map[string][]byte) []*wire.StoredRecord {
	records := make([]*wire.StoredRecord, 0, len(raw))
	for key, value := range raw {
		records = append(records, &wire.StoredRecord{Key: key, Value: value})
	}
	return records
}

// ReadState returns up to which places the store has been read, and how long ago, for
// the choice of the gateway that reads for others. While own reads fail, it reports the
// age of data that was never read: what peers have told is older than what they know,
// and two gateways could rely on each other.
func (s *State) ReadState() *wire.ReadState {
	s.mu.Lock()
	defer s.mu.Unlock()
	read := s.readState()
	if s.settingsReadFailed {
		read.SettingsAgeMs = neverRead
	}
	if s.targetsReadFailed {
		read.TargetsAgeMs = neverRead
	}
	return read
}

func (s *State) readState() *wire.ReadState {
	now := s.now()
	return &wire.ReadState{
		SettingsNext:   s.settingsAt.Next,
		SettingsEra:    s.settingsAt.Era,
		TargetsNext:    s.targetsAt.Next,
		TargetsEra:     s.targetsAt.Era,
		TargetsChanged: s.records.lastChange,
		SettingsAgeMs:  ageMS(s.settingsAsOf, now),
		TargetsAgeMs:   ageMS(s.targetsAsOf, now),
	}
}

// neverRead is reported as the age of data that has never been read.
const neverRead = -1

func ageMS(asOf, now time.Time) int64 {
	if asOf.IsZero() {
		return neverRead
	}
	return now.Sub(asOf).Milliseconds()
}

// TimeFromAge returns the time at which data of the given age was current, or the
// zero time if the data has never been read.
func TimeFromAge(ageMS int64, now time.Time) time.Time {
	if ageMS < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}

// Merge applies the settings and targets that a peer has shared, if they are newer
// than those of this state.
func (s *State) Merge(shared *wire.FleetState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	read := shared.GetRead()
	settingsAt := platform.Position{Era: read.GetSettingsEra(), Next: shared.SettingsNext}
	if s.settingsAt.Before(settingsAt) {
		batch := platform.Batch{Records: Records(shared.Settings), Next: settingsAt.Next, Era: settingsAt.Era}
		s.replaceSettings(batch, TimeFromAge(read.GetSettingsAgeMs(), now))
	}
	targetsAt := platform.Position{Era: read.GetTargetsEra(), Next: shared.TargetsNext}
	if s.targetsAt.Before(targetsAt) {
		s.mergeTargets(shared, targetsAt, now)
	}
}

func (s *State) mergeTargets(shared *wire.FleetState, at platform.Position, now time.Time) {
	if at.Era > s.targetsAt.Era && !shared.TargetsWhole {
		return // changes since a place in another era
	}
	s.beginComplete(at.Next)
	s.targets.ExtendGrace(now.Add(time.Duration(shared.TargetsSettlingMs)*time.Millisecond), now)
	asOf := TimeFromAge(shared.GetRead().GetTargetsAgeMs(), now)
	s.targets.Told(asOf)
	s.recordTargetsAt(at, now, asOf)
	expired := make(map[string]bool)
	for _, id := range shared.TargetsExpired {
		expired[id] = true
	}
	told := recordSource{put: s.targets.PutUnordered, remove: func(id string, now time.Time) bool {
		s.targets.RemoveAsTold(id, expired[id], now)
		return expired[id]
	}}
	if shared.TargetsWhole {
		s.replaceTargets(Records(shared.Targets), told, now)
	} else {
		for _, record := range Records(shared.Targets) {
			s.applyTarget(record, told, now)
		}
		for _, id := range shared.TargetsGone {
			s.removeTarget(id, told, now)
		}
	}
	s.publish()
}

// Expire drops the targets whose record is still missing at the end of the grace period.
func (s *State) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets.Expire(s.now()) {
		s.publish()
	}
}

// RecordReaderProgress records how far and when the reader has read the store, without
// fetching from the reader. The caller must have checked that this state has every
// change that the reader has read.
func (s *State) RecordReaderProgress(reader Reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settingsAsOf = later(s.settingsAsOf, reader.SettingsAsOf)
	s.targetsAsOf = later(s.targetsAsOf, reader.TargetsAsOf)
	if s.targetsAt.Before(reader.TargetsAt) {
		s.targetsAt = reader.TargetsAt
	}
	now := s.now()
	gone := s.targets.Followed(now)
	if s.held.expire(now) || gone {
		s.publish()
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Records returns the records that a peer has shared.
func Records(stored []*wire.StoredRecord) []platform.Record {
	list := make([]platform.Record, 0, len(stored))
	for _, record := range stored {
		list = append(list, platform.Record{Key: record.Key, Value: record.Value})
	}
	return list
}
