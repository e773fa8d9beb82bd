// Package eventlog writes one structured line for each decision of a process.
// Writing never blocks the caller: lines wait in a bounded queue, their rate is
// bounded, and those beyond either bound are counted and dropped.
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
	queueLines     = 1024
	linesPerSecond = 150
	reportInterval = 5 * time.Second
)

// Fields are the inputs and the outcome of a decision.
type Fields = log.Fields

type line struct {
	level   log.Level
	at      time.Time
	message string
	fields  Fields
}

// Log is a bounded log of decisions.
type Log struct {
	queue   chan line
	logger  *log.Logger
	dropped atomic.Int64
	mu      sync.Mutex
	second  int64
	written int
}

// New returns a log that writes JSON lines to w once Run is called.
func New(w io.Writer) *Log {
	return &Log{
		queue:  make(chan line, queueLines),
		logger: &log.Logger{Handler: json.New(w), Level: log.DebugLevel},
	}
}

// Decision logs a decision that touches a request; it may be dropped when there
// are too many.
func (l *Log) Decision(message string, fields Fields) {
	if !l.admit(time.Now()) {
		l.dropped.Add(1)
		return
	}
	l.put(log.InfoLevel, message, fields)
}

// State logs a change of what the process believes.
func (l *Log) State(message string, fields Fields) { l.put(log.InfoLevel, message, fields) }

// Problem logs an error that the process goes on from.
func (l *Log) Problem(message string, err error, fields Fields) {
	with := Fields{"error": err.Error()}
	for name, value := range fields {
		with[name] = value
	}
	l.put(log.WarnLevel, message, with)
}

// Dropped returns the number of lines that were dropped.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

func (l *Log) admit(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.written = second, 0
	}
	l.written++
	return l.written <= linesPerSecond
}

func (l *Log) put(level log.Level, message string, fields Fields) {
	select {
	case l.queue <- line{level, time.Now(), message, fields}:
	default:
		l.dropped.Add(1)
	}
}

// Start writes lines in the background. The function that it returns ends that
// once the lines that still wait are written.
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
	ticker := time.NewTicker(reportInterval)
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
			l.drain()
			return
		}
	}
}

func (l *Log) drain() {
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
