package memorylog

import (
	"bytes"
	"context"
	"sync"
	"time"

	"quetzalbend/internal/port"
)

// Retention bounds how long a stream keeps its records. Zero means no bound.
type Retention struct {
	Age     time.Duration
	Records int
}

// Totals counts what a stream has been given.
type Totals struct {
	Oldest  int64 `json:"oldest"`
	Next    int64 `json:"next"`
	Appends int64 `json:"appends"` // records
	Bytes   int64 `json:"bytes"`
}

// Log holds streams in memory. It implements port.Log.
type Log struct {
	retention Retention
	now       func() time.Time

	mu      sync.Mutex
	streams map[string]*stream
}

// stream is one stream, under its own lock.
type stream struct {
	mu      sync.Mutex
	oldest  int64
	records []stored
	totals  Totals
	grown   chan struct{} // closed and replaced at each append
}

// stored is one record with the time of its append.
type stored struct {
	data []byte
	at   time.Time
}

// New returns an empty log.
func New(retention Retention) *Log {
	return &Log{retention: retention, now: time.Now, streams: map[string]*stream{}}
}

// stream returns the stream of a name and makes it if it is new.
func (l *Log) stream(name string) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Append adds records at consecutive offsets and returns the first offset.
func (l *Log) Append(_ context.Context, name string, records [][]byte) (int64, error) {
	s := l.stream(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.next()
	now := l.now()
	for _, data := range records {
		s.records = append(s.records, stored{data: bytes.Clone(data), at: now})
		s.totals.Appends++
		s.totals.Bytes += int64(len(data))
	}
	s.expire(now, l.retention)
	close(s.grown)
	s.grown = make(chan struct{})
	return first, nil
}

// Read returns at most limit records from an offset and waits for the first.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (port.Page, error) {
	s := l.stream(name)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, grown, err := s.read(l.now(), l.retention, from, limit)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// ExpireBefore drops the records of a stream below an offset.
func (l *Log) ExpireBefore(name string, offset int64) {
	s := l.stream(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(int(min(offset, s.next()) - s.oldest))
}

// Totals returns the counts of each stream.
func (l *Log) Totals() map[string]Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := make(map[string]Totals, len(l.streams))
	for name, s := range l.streams {
		totals[name] = s.count()
	}
	return totals
}

// count returns the stream's totals.
func (s *stream) count() Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	totals := s.totals
	totals.Oldest = s.oldest
	totals.Next = s.next()
	return totals
}

func (s *stream) next() int64 { return s.oldest + int64(len(s.records)) }

// read returns a page and the channel that the next append closes.
func (s *stream) read(now time.Time, retention Retention, from int64, limit int) (port.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now, retention)
	page := port.Page{Oldest: s.oldest, Next: s.next()}
	if from < s.oldest {
		return page, s.grown, port.ErrExpired
	}
	for offset := from; offset < page.Next && len(page.Records) < limit; offset++ {
		page.Records = append(page.Records, port.Record{Offset: offset, Data: s.records[offset-s.oldest].data})
	}
	return page, s.grown, nil
}

// expire drops the records that the retention no longer covers.
func (s *stream) expire(now time.Time, retention Retention) {
	if retention.Records > 0 {
		s.drop(len(s.records) - retention.Records)
	}
	if retention.Age <= 0 {
		return
	}
	old := 0
	for old < len(s.records) && now.Sub(s.records[old].at) > retention.Age {
		old++
	}
	s.drop(old)
}

// drop removes the oldest count records.
func (s *stream) drop(count int) {
	if count <= 0 {
		return
	}
	s.records = append([]stored(nil), s.records[count:]...)
	s.oldest += int64(count)
}
