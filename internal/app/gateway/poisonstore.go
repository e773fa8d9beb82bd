package gateway

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/adapter/poisonwire"
	"quetzalbend/internal/core/poison"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
)

// poisonStore keeps the suspect and refused parts of prompts in the store, for gateways
// that start when no other one is left to tell them.
type poisonStore struct {
	guard *poisonGuard
	store *platform.Store
	log   *eventlog.Log
	known map[string]storedPart // what the store holds, when it was last read or written; nil: not yet read
}

// storedPart tells what the store holds of a part.
type storedPart struct {
	verdict   poison.Verdict
	uncleared int // crashes
}

// run reads the parts in the store repeatedly, and writes those that it lacks as soon as
// this gateway observes what makes them suspect or refused.
func (s *poisonStore) run(ctx context.Context) error {
	for ctx.Err() == nil {
		era, wait := s.store.Era(), listInterval
		if !s.sync(ctx) {
			wait = listRetry
		}
		s.writeUntil(ctx, time.Now().Add(wait), s.store.EraChanged(era))
	}
	return nil
}

// writeUntil writes, until a time, the parts that become suspect or refused. It returns at
// once in a new era of the store, which may have lost what was written.
func (s *poisonStore) writeUntil(ctx context.Context, end time.Time, newEra <-chan struct{}) {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	for {
		select {
		case <-s.guard.barred:
			s.writeNew(ctx)
		case <-newEra:
			return
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// writeNew writes the parts that the store lacks. If the store has not been read yet, it is
// read first: it may hold more evidence against a part than this gateway does.
func (s *poisonStore) writeNew(ctx context.Context) {
	if s.known == nil {
		s.sync(ctx)
		return
	}
	s.write(ctx)
}

// sync reads the parts in the store and writes those that it lacks. It reports whether
// the store could be read.
func (s *poisonStore) sync(ctx context.Context) bool {
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	batch, err := s.store.Newest(readCtx, platform.TopicParts)
	cancel()
	if err != nil {
		s.log.Decision("parts not read", eventlog.Fields{"error": err.Error()})
		return false
	}
	s.known = make(map[string]storedPart, len(batch.Records))
	for _, record := range batch.Records {
		now := time.Now()
		crashes := s.decode(record)
		s.guard.merge(crashes, now)
		stored := poison.NewTable()
		stored.Merge(poisonwire.Decode(crashes, now), now)
		s.known[record.Key] = storedPart{verdict: stored.Verdict(record.Key, now)}
		for _, evidence := range stored.Kept(now) {
			s.known[record.Key] = describe(stored, evidence, now)
		}
	}
	s.write(ctx)
	s.deleteAllowed(ctx)
	return true
}

// decode returns the evidence in a record with the ages that it has now.
func (s *poisonStore) decode(record platform.Record) []*wire.PartCrashes {
	stored := &wire.StoredPart{}
	if err := proto.Unmarshal(record.Value, stored); err != nil {
		s.log.Problem("invalid record of a part", err, eventlog.Fields{"part": record.Key})
		return nil
	}
	sinceWritten := max(time.Now().UnixMilli()-stored.GetWrittenUnixMs(), 0)
	for _, crash := range stored.GetEvidence().GetCrashes() {
		crash.AgeMs += sinceWritten
	}
	return []*wire.PartCrashes{stored.GetEvidence()}
}

// describe returns what a table's evidence against a part amounts to. Crashes beyond those
// that make the part suspect or refused tell nothing new.
func describe(table *poison.Table, evidence poison.Evidence, now time.Time) storedPart {
	described := storedPart{verdict: table.Verdict(evidence.Part, now)}
	if described.verdict == poison.Allowed {
		described.uncleared = evidence.Uncleared()
	}
	return described
}

// write writes the parts that are to be kept and of which the store does not know so. The
// store must have been read before.
func (s *poisonStore) write(ctx context.Context) {
	now := time.Now()
	for _, evidence := range s.guard.table.Kept(now) {
		described := describe(s.guard.table, evidence, now)
		if s.known[evidence.Part] == described {
			continue
		}
		encoded := poisonwire.Encode([]poison.Evidence{evidence}, now)[0]
		value, err := proto.Marshal(&wire.StoredPart{Evidence: encoded, WrittenUnixMs: now.UnixMilli()})
		if err == nil {
			err = s.put(ctx, evidence.Part, value)
		}
		if err != nil {
			s.log.Problem("part not written", err, eventlog.Fields{"part": evidence.Part})
			continue
		}
		s.known[evidence.Part] = described
	}
}

// deleteAllowed deletes the parts from the store that have been answered meanwhile or
// whose crashes no longer count.
func (s *poisonStore) deleteAllowed(ctx context.Context) {
	kept := make(map[string]bool)
	for _, evidence := range s.guard.table.Kept(time.Now()) {
		kept[evidence.Part] = true
	}
	for part := range s.known {
		if kept[part] {
			continue
		}
		if err := s.put(ctx, part, nil); err != nil {
			s.log.Problem("allowed part not deleted", err, eventlog.Fields{"part": part})
			continue
		}
		delete(s.known, part)
	}
}

func (s *poisonStore) put(ctx context.Context, part string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.store.Put(ctx, platform.TopicParts, part, value)
}
