// Package eventlog writes structured log lines about the decisions, state changes
// and errors of a process. Logging never blocks the caller: lines wait in a
// bounded queue, and decisions are also rate-limited. Lines that exceed either
// bound are dropped and counted.
package eventlog

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

const (
	queueLines         = 1024            // lines that wait to be written
	linesPerSecond     = 150             // decisions logged per second
	dropReportInterval = 5 * time.Second // between reports of dropped lines
)

// Fields are the structured fields of one line, such as the inputs and the
// outcome of a decision.
type Fields = log.Fields

type line struct {
	level   log.Level
	at      time.Time
	message string
	fields  Fields
}

// Log is a log that drops lines rather than block its callers.
type Log struct {
	queue     chan line
	logger    *log.Logger
	dropped   atomic.Int64
	mu        sync.Mutex
	second    int64 // Unix time of the second that decisions counts in
	decisions int   // in that second, including the dropped ones
}

// New returns a log that writes JSON lines to w once Start is called.
func New(w io.Writer) *Log {
	return &Log{
		queue:  make(chan line, queueLines),
		logger: &log.Logger{Handler: json.New(w), Level: log.DebugLevel},
	}
}

// Decision logs a decision about a request. Such lines are rate-limited: those
// beyond linesPerSecond are dropped.
func (l *Log) Decision(message string, fields Fields) {
	if !l.allow(time.Now()) {
		l.dropped.Add(1)
		return
	}
	l.enqueue(log.InfoLevel, message, fields)
}

// State logs a change of the process's state or of what it knows of others. Such
// lines are not rate-limited.
func (l *Log) State(message string, fields Fields) { l.enqueue(log.InfoLevel, message, fields) }

// Problem logs, as a warning, an error after which the process continues. Such
// lines are not rate-limited.
func (l *Log) Problem(message string, err error, fields Fields) {
	with := Fields{"error": err.Error()}
	for name, value := range fields {
		with[name] = value
	}
	l.enqueue(log.WarnLevel, message, with)
}

// Dropped returns the number of lines dropped so far, including those that could not
// be written.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// allow counts a decision and reports whether it is within linesPerSecond.
func (l *Log) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.decisions = second, 0
	}
	l.decisions++
	return l.decisions <= linesPerSecond
}

func (l *Log) enqueue(level log.Level, message string, fields Fields) {
	select {
	case l.queue <- line{level, time.Now(), message, fields}:
	default:
		l.dropped.Add(1)
	}
}

// Start writes lines in the background. The function that it returns stops that
// once the queued lines are written, and waits for it.
func (l *Log) Start() (finish func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		l.run(ctx)
		close(ended)
	}()
	return func() {
		cancel()
		<-ended
	}
}

func (l *Log) run(ctx context.Context) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case next := <-l.queue:
			l.write(next)
		case <-ticker.C:
			if dropped := l.Dropped(); dropped > reported {
				l.write(line{log.WarnLevel, time.Now(), "log lines dropped", Fields{"lines": dropped - reported}})
				reported = dropped
			}
		case <-ctx.Done():
			l.writeQueued()
			return
		}
	}
}

func (l *Log) writeQueued() {
	for {
		select {
		case next := <-l.queue:
			l.write(next)
		default:
			return
		}
	}
}

func (l *Log) write(next line) {
	entry := &log.Entry{Logger: l.logger, Fields: next.fields, Level: next.level, Timestamp: next.at, Message: next.message}
	if err := l.logger.Handler.HandleLog(entry); err != nil {
		l.dropped.Add(1)
	}
}
