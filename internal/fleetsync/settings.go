package fleetsync

import (
	"strings"
	"time"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/eventlog"
	"quetzalbend/platform"
)

// heldEvacuations holds the evacuations that were in force when the store came back from
// a copy that lacks them.
type heldEvacuations struct {
	domains map[string]bool
	until   time.Time
}

// expire drops the evacuations that were not written again, and reports whether there
// were any.
func (h *heldEvacuations) expire(now time.Time) bool {
	if len(h.domains) == 0 || now.Before(h.until) {
		return false
	}
	h.domains = nil
	return true
}

// AddSettings applies settings records that follow those applied before. It reports false
// if it cannot, since the batch is from a newer era: all settings must then be read.
func (s *State) AddSettings(batch platform.Batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settingsReadFailed = false
	if s.isOlder("settings", batch, s.settingsAt) {
		return true
	}
	if batch.Era > s.settingsAt.Era {
		return false
	}
	now := s.now()
	s.settingsAsOf = now
	for _, record := range batch.Records {
		s.applySettingsRecord(record)
	}
	s.settingsAt = batch.Position()
	expired := s.held.expire(now)
	if len(batch.Records) > 0 {
		s.decodeSettings()
	}
	if len(batch.Records) > 0 || expired {
		s.publish()
	}
	return true
}

// ReplaceSettings replaces all settings records by the newest records of all keys.
func (s *State) ReplaceSettings(batch platform.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settingsReadFailed = false
	s.replaceSettings(batch, s.now())
}

func (s *State) replaceSettings(batch platform.Batch, asOf time.Time) {
	if s.isOlder("settings", batch, s.settingsAt) {
		return
	}
	now := s.now()
	s.held.expire(now)
	if batch.Era > s.settingsAt.Era && s.settings != nil {
		s.logNewEra("settings", batch.Position(), s.settingsAt)
		s.held = heldEvacuations{domains: s.evacuated(), until: now.Add(registry.GracePeriod)}
	}
	s.settingsAsOf = later(s.settingsAsOf, asOf)
	s.settingsRecords = make(map[string][]byte)
	for _, record := range batch.Records {
		s.applySettingsRecord(record)
	}
	s.settingsAt = batch.Position()
	s.decodeSettings()
	s.publish()
}

func (s *State) applySettingsRecord(record platform.Record) {
	if domain, found := strings.CutPrefix(record.Key, platform.PrefixEvacuated); found {
		delete(s.held.domains, domain)
	}
	if len(record.Value) == 0 {
		delete(s.settingsRecords, record.Key)
		return
	}
	s.settingsRecords[record.Key] = record.Value
}

// evacuated returns the failure domains whose targets get no requests.
func (s *State) evacuated() map[string]bool {
	evacuated := make(map[string]bool)
	for domain := range s.held.domains {
		evacuated[domain] = true
	}
	for key := range s.settingsRecords {
		if domain, found := strings.CutPrefix(key, platform.PrefixEvacuated); found {
			evacuated[domain] = true
		}
	}
	return evacuated
}

// decodeSettings decodes the newest settings and puts them in force if their version
// is newer. An older version never replaces a newer one, neither in force nor in what
// peers are told.
func (s *State) decodeSettings() {
	raw := s.settingsRecords[platform.KeySettings]
	if len(raw) == 0 {
		s.keepSettingsInForce()
		return
	}
	settings, err := platform.DecodeSettings(raw)
	if err != nil {
		s.log.Problem("settings rejected", err, eventlog.Fields{"offset": s.settingsAt.Next, "era": s.settingsAt.Era})
		return
	}
	if s.settings != nil && settings.Version <= s.settings.Version {
		s.keepSettingsInForce()
		return
	}
	s.putInForce(settings, raw)
}

func (s *State) putInForce(settings *fleet.Settings, raw []byte) {
	s.settings, s.settingsRaw = settings, raw
	s.log.State("settings in force", eventlog.Fields{
		"version": settings.Version, "offset": s.settingsAt.Next, "era": s.settingsAt.Era,
	})
}

func (s *State) keepSettingsInForce() {
	if s.settings != nil {
		s.settingsRecords[platform.KeySettings] = s.settingsRaw
	}
}
