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

// View is what a gateway knows of the fleet at one moment. It never changes.
type View struct {
	Settings  *fleet.Settings
	Targets   map[string][]registry.Usable // usable ones, by service
	All       []fleet.Target
	Evacuated map[string]bool // failure domains taken out
}

// State folds what was read from the store, directly or by way of a peer.
type State struct {
	log  *eventlog.Log
	now  func() time.Time
	view atomic.Pointer[View]

	mu           sync.Mutex
	settings     *fleet.Settings
	settingsRaw  map[string][]byte // newest record of each key
	settingsNext int64             // offset to read on from; 0: nothing read yet
	targets      *registry.Table
	records      targetRecords
	targetsNext  int64
	settingsAsOf time.Time // moment at which all settings were known; zero: never
	targetsAsOf  time.Time // the same of the registry
}

// NewState returns a state that knows nothing.
func NewState(log *eventlog.Log, now func() time.Time) *State {
	return &State{
		log: log, now: now,
		settingsRaw: make(map[string][]byte),
		targets:     registry.NewTable(),
		records:     newTargetRecords(),
	}
}

// View returns the present view, or nil until settings and targets are known.
func (s *State) View() *View { return s.view.Load() }

// SettingsNext returns the offset to read settings on from.
func (s *State) SettingsNext() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settingsNext
}

// TargetsNext returns the offset to read targets on from.
func (s *State) TargetsNext() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targetsNext
}

// AddSettings applies records that follow those applied before.
func (s *State) AddSettings(batch platform.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if batch.Next < s.settingsNext {
		return
	}
	s.settingsAsOf = s.now()
	for _, record := range batch.Records {
		setRaw(s.settingsRaw, record)
	}
	s.settingsNext = batch.Next
	if len(batch.Records) > 0 {
		s.foldSettings()
		s.publish()
	}
}

// ReplaceSettings takes the newest records of all keys.
func (s *State) ReplaceSettings(batch platform.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaceSettings(batch, s.now())
}

func (s *State) replaceSettings(batch platform.Batch, asOf time.Time) {
	if batch.Next < s.settingsNext {
		return
	}
	s.settingsAsOf = later(s.settingsAsOf, asOf)
	s.settingsRaw = make(map[string][]byte)
	for _, record := range batch.Records {
		setRaw(s.settingsRaw, record)
	}
	s.settingsNext = batch.Next
	s.foldSettings()
	s.publish()
}

func setRaw(raw map[string][]byte, record platform.Record) {
	if len(record.Value) == 0 {
		delete(raw, record.Key)
		return
	}
	raw[record.Key] = record.Value
}

// foldSettings decodes the newest settings, unless it has them already. An
// older version never replaces a newer one.
func (s *State) foldSettings() {
	raw := s.settingsRaw[platform.KeySettings]
	if len(raw) == 0 {
		return
	}
	settings, err := platform.DecodeSettings(raw)
	if err != nil {
		s.log.Problem("settings refused", err, eventlog.Fields{"offset": s.settingsNext})
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
	if batch.Next < s.targetsNext {
		return
	}
	now := s.now()
	s.readTargets(batch.Next, now, now)
	for _, record := range batch.Records {
		s.applyTarget(record, now)
	}
	s.publish()
}

// ReplaceTargets takes the newest registry records of all targets.
func (s *State) ReplaceTargets(batch platform.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if batch.Next < s.targetsNext {
		return
	}
	now := s.now()
	if s.targetsNext == 0 {
		s.records.complete = batch.Next
	}
	s.readTargets(batch.Next, now, now)
	s.replaceTargets(batch.Records, now)
	s.publish()
}

// readTargets records that the registry was read up to an offset.
func (s *State) readTargets(next int64, now, asOf time.Time) {
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

// applyTarget takes one record, and reports whether it is a target's.
func (s *State) applyTarget(record platform.Record, now time.Time) (fleet.Target, bool) {
	if len(record.Value) == 0 {
		s.removeTarget(record.Key, now)
		return fleet.Target{}, false
	}
	target, err := platform.DecodeTarget(record.Key, record.Value)
	if err != nil {
		s.log.Problem("registry record refused", err, nil)
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

// RecordTargetsReadFailure records that the registry could not be read.
func (s *State) RecordTargetsReadFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.ReadFailed()
}

func (s *State) publish() {
	if s.settings == nil || s.targetsAsOf.IsZero() {
		return
	}
	out := make(map[string]bool)
	for key := range s.settingsRaw {
		if domain, found := strings.CutPrefix(key, platform.PrefixEvacuated); found {
			out[domain] = true
		}
	}
	s.view.Store(&View{
		Settings:  s.settings,
		Targets:   s.targets.Usable(out),
		All:       s.targets.All(),
		Evacuated: out,
	})
}

// Share returns what is newer than the offsets that a peer has read up to.
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
		shared.Settings = storedRecords(s.settingsRaw)
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

// ReadState returns how far the store has been read, and how long ago.
func (s *State) ReadState() *wire.ReadState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readState()
}

func (s *State) readState() *wire.ReadState {
	now := s.now()
	return &wire.ReadState{
		SettingsNext:   s.settingsNext,
		TargetsNext:    s.targetsNext,
		TargetsChanged: s.records.changed,
		SettingsAgeMs:  ageMS(s.settingsAsOf, now),
		TargetsAgeMs:   ageMS(s.targetsAsOf, now),
	}
}

// neverRead is the age of what has not been read.
const neverRead = -1

func ageMS(asOf, now time.Time) int64 {
	if asOf.IsZero() {
		return neverRead
	}
	return now.Sub(asOf).Milliseconds()
}

// AsOf returns the moment that an age tells of, the zero time for none.
func AsOf(ageMS int64, now time.Time) time.Time {
	if ageMS < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}

// Merge applies what a peer has shared, as far as it is newer.
func (s *State) Merge(shared *wire.FleetState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	read := shared.GetRead()
	if shared.SettingsNext > s.settingsNext {
		batch := platform.Batch{Records: records(shared.Settings), Next: shared.SettingsNext}
		s.replaceSettings(batch, AsOf(read.GetSettingsAgeMs(), now))
	}
	if shared.TargetsNext > s.targetsNext {
		s.learnTargets(shared, now)
	}
}

func (s *State) learnTargets(shared *wire.FleetState, now time.Time) {
	if s.targetsNext == 0 {
		s.records.complete = shared.TargetsNext
	}
	s.targets.ExtendGrace(now.Add(time.Duration(shared.TargetsSettlingMs) * time.Millisecond))
	s.readTargets(shared.TargetsNext, now, AsOf(shared.GetRead().GetTargetsAgeMs(), now))
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

// Confirm records that a peer has read the store up to these offsets and knew
// all at these moments, without a change that this gateway does not have.
func (s *State) Confirm(read Reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settingsAsOf = later(s.settingsAsOf, read.SettingsAsOf)
	s.targetsAsOf = later(s.targetsAsOf, read.TargetsAsOf)
	s.targetsNext = max(s.targetsNext, read.TargetsNext)
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
