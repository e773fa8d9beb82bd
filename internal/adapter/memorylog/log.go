package memorylog

import (
	"bytes"
	"context"
	"sync"
	"time"

	"quetzalbend/internal/port"
)

// Retention bounds the age and number of the records that a stream keeps. A zero
// field means no bound.
type Retention struct {
	Age     time.Duration
	Records int
}

// Totals counts what was appended to a stream.
type Totals struct {
	Oldest  int64 `json:"oldest"`  // offset of the oldest record still kept
	Next    int64 `json:"next"`    // offset of the next record to be appended
	Appends int64 `json:"appends"` // number of records
	Bytes   int64 `json:"bytes"`
}

// Log holds streams in memory. It implements port.Log.
type Log struct {
	retention Retention
	now       func() time.Time

	mu      sync.Mutex
	streams map[string]*stream
	era     int64
}

// stream holds the records of one stream. mu guards all its fields.
type stream struct {
	mu       sync.Mutex
	era      int64
	oldest   int64
	records  []storedRecord
	totals   Totals        // without Oldest and Next
	appended chan struct{} // closed and replaced at each append
}

// storedRecord is one record with the time of its append.
type storedRecord struct {
	data       []byte
	appendedAt time.Time
}

// New returns an empty log.
func New(retention Retention) *Log {
	return &Log{retention: retention, now: time.Now, streams: map[string]*stream{}}
}

// stream returns the stream with the given name and creates it if there is none.
func (l *Log) stream(name string) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.streams[name]
	if !ok {
		s = &stream{era: l.era, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Append appends records at consecutive offsets and returns the first offset.
func (l *Log) Append(_ context.Context, name string, records [][]byte) (int64, error) {
	s := l.stream(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.next()
	now := l.now()
	for _, data := range records {
		s.records = append(s.records, storedRecord{data: bytes.Clone(data), appendedAt: now})
		s.totals.Appends++
		s.totals.Bytes += int64(len(data))
	}
	s.expire(now, l.retention)
	close(s.appended)
	s.appended = make(chan struct{})
	return first, nil
}

// Read returns at most limit records from an offset on. If there are none yet, it
// waits for an append or a new era, for at most wait.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (port.Page, error) {
	s := l.stream(name)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for era := int64(-1); ; {
		page, appended, err := s.read(l.now(), l.retention, from, limit)
		if err != nil || len(page.Records) > 0 || wait <= 0 || era >= 0 && page.Era != era {
			return page, err
		}
		era = page.Era
		select {
		case <-appended:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// LoseNewest brings each stream back to what it held before its newest n records, as a
// log that comes back from an older copy, in a new era.
func (l *Log) LoseNewest(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	for _, s := range l.streams {
		s.loseNewest(n, l.era)
	}
}

// loseNewest removes the newest n records, begins an era and wakes readers.
func (s *stream) loseNewest(n int, era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
	s.records = s.records[:max(0, len(s.records)-n)]
	close(s.appended)
	s.appended = make(chan struct{})
}

// ExpireBefore removes the records of a stream below an offset.
func (l *Log) ExpireBefore(name string, offset int64) {
	s := l.stream(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(int(min(offset, s.next()) - s.oldest))
}

// Totals returns the totals of each stream by name.
func (l *Log) Totals() map[string]Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := make(map[string]Totals, len(l.streams))
	for name, s := range l.streams {
		totals[name] = s.currentTotals()
	}
	return totals
}

// currentTotals returns the stream's totals with its offsets.
func (s *stream) currentTotals() Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	totals := s.totals
	totals.Oldest = s.oldest
	totals.Next = s.next()
	return totals
}

// next returns the offset of the next record to be appended.
func (s *stream) next() int64 { return s.oldest + int64(len(s.records)) }

// read returns a page and the channel that the next append closes.
func (s *stream) read(now time.Time, retention Retention, from int64, limit int) (port.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now, retention)
	page := port.Page{Oldest: s.oldest, Next: s.next(), Era: s.era}
	if from < s.oldest {
		return page, s.appended, port.ErrExpired
	}
	for offset := from; offset < page.Next && len(page.Records) < limit; offset++ {
		page.Records = append(page.Records, port.Record{Offset: offset, Data: s.records[offset-s.oldest].data})
	}
	return page, s.appended, nil
}

// expire removes the records that exceed the retention.
func (s *stream) expire(now time.Time, retention Retention) {
	if retention.Records > 0 {
		s.drop(len(s.records) - retention.Records)
	}
	if retention.Age <= 0 {
		return
	}
	expired := 0
	for expired < len(s.records) && now.Sub(s.records[expired].appendedAt) > retention.Age {
		expired++
	}
	s.drop(expired)
}

// drop removes the oldest n records.
func (s *stream) drop(n int) {
	if n <= 0 {
		return
	}
	s.records = append([]storedRecord(nil), s.records[n:]...)
	s.oldest += int64(n)
}
