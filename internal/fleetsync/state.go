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
	Settings *fleet.Settings
	Targets  map[string][]registry.Usable // usable ones, by service
	All      []fleet.Target
	Out      map[string]bool // failure domains taken out
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
	targetsRaw   map[string][]byte
	targetsNext  int64
	targetsRead  bool
}

// NewState returns a state that knows nothing.
func NewState(log *eventlog.Log, now func() time.Time) *State {
	return &State{
		log: log, now: now,
		settingsRaw: make(map[string][]byte),
		targets:     registry.NewTable(),
		targetsRaw:  make(map[string][]byte),
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
	if batch.Next < s.settingsNext {
		return
	}
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
	s.targetsNext = batch.Next
	now := s.now()
	s.targets.ReadSucceeded(now)
	for _, record := range batch.Records {
		s.addTarget(record, now)
	}
	s.targetsRead = true
	s.publish()
}

func (s *State) addTarget(record platform.Record, now time.Time) {
	if len(record.Value) == 0 {
		delete(s.targetsRaw, record.Key)
		s.targets.Remove(record.Key, now)
		return
	}
	target, err := platform.DecodeTarget(record.Key, record.Value)
	if err != nil {
		s.log.Problem("registry record refused", err, nil)
		return
	}
	s.targetsRaw[record.Key] = record.Value
	s.targets.Put(target, now)
}

// ReplaceTargets takes the newest registry records of all targets.
func (s *State) ReplaceTargets(batch platform.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if batch.Next < s.targetsNext {
		return
	}
	s.targetsNext = batch.Next
	now := s.now()
	s.targets.ReadSucceeded(now)
	s.targetsRaw = make(map[string][]byte)
	var targets []fleet.Target
	for _, record := range batch.Records {
		target, err := platform.DecodeTarget(record.Key, record.Value)
		if err != nil {
			s.log.Problem("registry record refused", err, nil)
			continue
		}
		s.targetsRaw[record.Key] = record.Value
		targets = append(targets, target)
	}
	s.targets.Replace(targets, now)
	s.targetsRead = true
	s.publish()
}

// TargetsUnread records that the registry could not be read.
func (s *State) TargetsUnread() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.ReadFailed()
}

func (s *State) publish() {
	if s.settings == nil || !s.targetsRead {
		return
	}
	out := make(map[string]bool)
	for key := range s.settingsRaw {
		if domain, found := strings.CutPrefix(key, platform.PrefixEvacuated); found {
			out[domain] = true
		}
	}
	s.view.Store(&View{
		Settings: s.settings,
		Targets:  s.targets.Usable(out),
		All:      s.targets.All(),
		Out:      out,
	})
}

// Share returns what is newer than the offsets that a peer has read up to.
func (s *State) Share(settingsNext, targetsNext int64) *wire.FleetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	shared := &wire.FleetState{SettingsNext: s.settingsNext, TargetsNext: s.targetsNext}
	if s.settingsNext > settingsNext {
		shared.Settings = storedRecords(s.settingsRaw)
	}
	if s.targetsNext > targetsNext {
		shared.Targets = storedRecords(s.targetsRaw)
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

// Learn applies what a peer has shared, as far as it is newer.
func (s *State) Learn(shared *wire.FleetState) {
	if shared.SettingsNext > s.SettingsNext() {
		s.ReplaceSettings(platform.Batch{Records: records(shared.Settings), Next: shared.SettingsNext})
	}
	if shared.TargetsNext > s.TargetsNext() {
		s.ReplaceTargets(platform.Batch{Records: records(shared.Targets), Next: shared.TargetsNext})
	}
}

func records(stored []*wire.StoredRecord) []platform.Record {
	list := make([]platform.Record, 0, len(stored))
	for _, record := range stored {
		list = append(list, platform.Record{Key: record.Key, Value: record.Value})
	}
	return list
}
