package fleetsync

import (
	"strings"
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
	settingsRecords map[string][]byte // newest record of each key
	settingsNext    int64             // offset from which to continue reading; 0: nothing read yet
	targets         *registry.Table
	records         targetRecords
	targetsNext     int64
	settingsAsOf    time.Time // when all settings were last known; zero: never
	targetsAsOf     time.Time // when the whole registry was last known; zero: never

	settingsReadFailed bool // the last own read of the settings in the store failed
	targetsReadFailed  bool // the last own read of the registry in the store failed
}

// NewState returns a state without settings and targets.
func NewState(log *eventlog.Log, now func() time.Time) *State {
	return &State{
		log: log, now: now,
		settingsRecords: make(map[string][]byte),
		targets:         registry.NewTable(),
		records:         newTargetRecords(),
	}
}

// View returns the current view, or nil until settings and targets are known.
func (s *State) View() *View { return s.view.Load() }

// SettingsNext returns the offset from which to continue reading settings.
func (s *State) SettingsNext() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settingsNext
}

// TargetsNext returns the offset from which to continue reading the registry.
func (s *State) TargetsNext() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targetsNext
}

// AddSettings applies settings records that follow those applied before.
func (s *State) AddSettings(batch platform.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settingsReadFailed = false
	if batch.Next < s.settingsNext {
		s.logIgnored("settings", batch, s.settingsNext)
		return
	}
	s.settingsAsOf = s.now()
	for _, record := range batch.Records {
		applySettingsRecord(s.settingsRecords, record)
	}
	s.settingsNext = batch.Next
	if len(batch.Records) > 0 {
		s.decodeSettings()
		s.publish()
	}
}

// ReplaceSettings replaces all settings records by the newest records of all keys.
func (s *State) ReplaceSettings(batch platform.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settingsReadFailed = false
	s.replaceSettings(batch, s.now())
}

func (s *State) replaceSettings(batch platform.Batch, asOf time.Time) {
	if batch.Next < s.settingsNext {
		s.logIgnored("settings", batch, s.settingsNext)
		return
	}
	s.settingsAsOf = later(s.settingsAsOf, asOf)
	s.settingsRecords = make(map[string][]byte)
	for _, record := range batch.Records {
		applySettingsRecord(s.settingsRecords, record)
	}
	s.settingsNext = batch.Next
	s.decodeSettings()
	s.publish()
}

// logIgnored logs that records were ignored since they end before the offset next.
func (s *State) logIgnored(of string, batch platform.Batch, next int64) {
	s.log.Decision("older records ignored", eventlog.Fields{
		"of": of, "era": batch.Era, "end": batch.Next, "next": next, "records": len(batch.Records),
	})
}

func applySettingsRecord(records map[string][]byte, record platform.Record) {
	if len(record.Value) == 0 {
		delete(records, record.Key)
		return
	}
	records[record.Key] = record.Value
}

// decodeSettings decodes the newest settings and puts them in force if their version
// is newer. An older version never replaces a newer one.
func (s *State) decodeSettings() {
	raw := s.settingsRecords[platform.KeySettings]
	if len(raw) == 0 {
		return
	}
	settings, err := platform.DecodeSettings(raw)
	if err != nil {
		s.log.Problem("settings rejected", err, eventlog.Fields{"offset": s.settingsNext})
		return
	}
	if s.settings != nil && settings.Version <= s.settings.Version {
		return
	}
	s.settings = settings
	s.log.State("settings in force", eventlog.Fields{"version": settings.Version, "offset": s.settingsNext})
}

// AddTargets applies registry records that follow those applied before.
func (s *State) AddTargets(batch platform.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetsReadFailed = false
	if batch.Next < s.targetsNext {
		s.logIgnored("registry", batch, s.targetsNext)
		return
	}
	now := s.now()
	s.recordTargetsRead(batch.Next, now, now)
	for _, record := range batch.Records {
		s.applyTarget(record, now)
	}
	s.publish()
}

// ReplaceTargets replaces the registry by the newest records of all targets.
func (s *State) ReplaceTargets(batch platform.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetsReadFailed = false
	if batch.Next < s.targetsNext {
		s.logIgnored("registry", batch, s.targetsNext)
		return
	}
	now := s.now()
	if s.targetsNext == 0 {
		s.records.completeSince = batch.Next
	}
	s.recordTargetsRead(batch.Next, now, now)
	s.replaceTargets(batch.Records, now)
	s.publish()
}

// recordTargetsRead records that the registry was read up to an offset.
func (s *State) recordTargetsRead(next int64, now, asOf time.Time) {
	s.targetsNext = next
	s.targetsAsOf = later(s.targetsAsOf, asOf)
	s.targets.ReadSucceeded(now)
}

func (s *State) replaceTargets(records []platform.Record, now time.Time) {
	var targets []fleet.Target
	for _, record := range records {
		if target, ok := s.applyTarget(record, now); ok {
			targets = append(targets, target)
		}
	}
	for _, id := range s.records.missing(targets) {
		s.removeTarget(id, now)
	}
}

// applyTarget applies one registry record. It returns the target, or false if the
// record removes a target or cannot be decoded.
func (s *State) applyTarget(record platform.Record, now time.Time) (fleet.Target, bool) {
	if len(record.Value) == 0 {
		s.removeTarget(record.Key, now)
		return fleet.Target{}, false
	}
	target, err := platform.DecodeTarget(record.Key, record.Value)
	if err != nil {
		s.log.Problem("registry record rejected", err, nil)
		return fleet.Target{}, false
	}
	s.records.put(record.Value, target, s.targetsNext)
	s.targets.Put(target, now)
	return target, true
}

func (s *State) removeTarget(id string, now time.Time) {
	s.records.remove(id, s.targetsNext)
	s.targets.Remove(id, now)
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
	evacuated := make(map[string]bool)
	for key := range s.settingsRecords {
		if domain, found := strings.CutPrefix(key, platform.PrefixEvacuated); found {
			evacuated[domain] = true
		}
	}
	s.view.Store(&View{
		Settings:  s.settings,
		Targets:   s.targets.Usable(evacuated),
		All:       s.targets.All(),
		Evacuated: evacuated,
	})
}

// Share returns what is newer than the offsets up to which a peer has read.
func (s *State) Share(settingsNext, targetsNext int64) *wire.FleetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	shared := &wire.FleetState{
		SettingsNext:      s.settingsNext,
		TargetsNext:       s.targetsNext,
		Read:              s.readState(),
		TargetsSettlingMs: s.targets.GraceRemaining(s.now()).Milliseconds(),
	}
	if s.settingsNext > settingsNext {
		shared.Settings = storedRecords(s.settingsRecords)
	}
	if s.targetsNext > targetsNext {
		s.records.share(shared, targetsNext)
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

// ReadState returns up to which offsets the store has been read, and how long ago, for
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
		SettingsNext:   s.settingsNext,
		TargetsNext:    s.targetsNext,
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
	if shared.SettingsNext > s.settingsNext {
		batch := platform.Batch{Records: records(shared.Settings), Next: shared.SettingsNext}
		s.replaceSettings(batch, TimeFromAge(read.GetSettingsAgeMs(), now))
	}
	if shared.TargetsNext > s.targetsNext {
		s.mergeTargets(shared, now)
	}
}

func (s *State) mergeTargets(shared *wire.FleetState, now time.Time) {
	if s.targetsNext == 0 {
		s.records.completeSince = shared.TargetsNext
	}
	s.targets.ExtendGrace(now.Add(time.Duration(shared.TargetsSettlingMs) * time.Millisecond))
	s.recordTargetsRead(shared.TargetsNext, now, TimeFromAge(shared.GetRead().GetTargetsAgeMs(), now))
	if shared.TargetsWhole {
		s.replaceTargets(records(shared.Targets), now)
	} else {
		for _, record := range records(shared.Targets) {
			s.applyTarget(record, now)
		}
		for _, id := range shared.TargetsGone {
			s.removeTarget(id, now)
		}
	}
	s.publish()
}

// RecordReaderProgress records how far and when the reader has read the store, without
// fetching from the reader. The caller must have checked that this state has every
// change that the reader has read.
func (s *State) RecordReaderProgress(reader Reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settingsAsOf = later(s.settingsAsOf, reader.SettingsAsOf)
	s.targetsAsOf = later(s.targetsAsOf, reader.TargetsAsOf)
	s.targetsNext = max(s.targetsNext, reader.TargetsNext)
	if s.targets.ReadSucceeded(s.now()) {
		s.publish()
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func records(stored []*wire.StoredRecord) []platform.Record {
	list := make([]platform.Record, 0, len(stored))
	for _, record := range stored {
		list = append(list, platform.Record{Key: record.Key, Value: record.Value})
	}
	return list
}
