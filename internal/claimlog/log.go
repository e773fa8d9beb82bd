package claimlog

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/core/claims"
	"quetzalbend/internal/port"
)

// Defaults of Config.
const (
	DefaultAppendInterval = 20 * time.Millisecond
	DefaultClaimTimeout   = 2 * time.Second
)

const (
	readLimit     = 256 // records a read
	readWait      = time.Second
	retryDelay    = 100 * time.Millisecond
	maxBatchOps   = 512
	maxBatchBytes = 256 << 10 // of answers in one record
)

// Config says whose claims go where. Zero durations get the defaults.
type Config struct {
	Log            port.Log
	Stream         string
	Target         string
	Incarnation    string
	AppendInterval time.Duration // least time between two appends
	ClaimTimeout   time.Duration // for the verdict on a claim
	Window         func() time.Duration
	Now            func() time.Time
}

// Log is the claims of one service at one agent.
type Log struct {
	config Config

	lock     sync.Mutex
	claimant *claims.Claimant
	queue    []claims.Op
	sending  bool                         // an append with ops is on its way
	waiters  map[claims.Key]chan struct{} // closed when the key's state may have changed
	caughtUp bool
	reading  bool      // the last read of the log worked
	writing  bool      // the last append worked
	retryAt  time.Time // after a failed append: when claims are tried again

	wake     chan struct{} // there is something to append
	appends  int64
	appended int64 // ops
}

// New returns the claims of one agent. Call Run to follow the log.
func New(config Config) *Log {
	if config.AppendInterval == 0 {
		config.AppendInterval = DefaultAppendInterval
	}
	if config.ClaimTimeout == 0 {
		config.ClaimTimeout = DefaultClaimTimeout
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Log{
		config:   config,
		claimant: claims.NewClaimant(config.Incarnation, claims.NewFold(0)),
		waiters:  make(map[claims.Key]chan struct{}),
		writing:  true,
		wake:     make(chan struct{}, 1),
	}
}

// Run follows the log and appends until ctx ends. Ops that are still queued
// then are given up; call Flush first.
func (l *Log) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { l.follow(ctx); return nil })
	group.Go(func() error { l.appendAll(ctx); return nil })
	return group.Wait()
}

// Available reports whether new keys can be claimed now.
func (l *Log) Available() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.available()
}

// available is Available for callers that hold the lock. After a failed append
// claims wait a little, then the next one finds out.
func (l *Log) available() bool {
	return l.caughtUp && l.reading && (l.writing || l.config.Now().After(l.retryAt))
}

// Ready reports whether the whole stream has been read once.
func (l *Log) Ready() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.caughtUp
}

// Counts returns the appends made and the ops in them.
func (l *Log) Counts() (appends, ops int64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.appends, l.appended
}

// follow reads the stream from its oldest record on.
func (l *Log) follow(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := l.config.Log.Read(ctx, l.config.Stream, l.next(), readLimit, l.wait())
		switch {
		case errors.Is(err, port.ErrExpired):
			l.rebase(page.Oldest)
		case ctx.Err() != nil:
			return
		case err != nil:
			l.setReading(false, err)
			sleep(ctx, retryDelay)
		default:
			l.take(page)
		}
	}
}

func (l *Log) next() int64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.claimant.Fold().Next()
}

// wait is zero until the stream has been read to its end, so that an agent
// that starts does not wait for others to append.
func (l *Log) wait() time.Duration {
	if !l.Ready() {
		return 0
	}
	return readWait
}

// rebase starts the fold again after records expired that were not read.
func (l *Log) rebase(oldest int64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.enqueue(l.claimant.Reset(oldest)...)
	l.wakeAll()
}

// take folds a page.
func (l *Log) take(page port.Page) {
	l.setReading(true, nil)
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, record := range page.Records {
		if record.Offset != l.claimant.Fold().Next() {
			return // read again from where the fold stands
		}
		batch, err := claims.DecodeBatch(record.Data)
		if err != nil {
			batch = claims.Batch{}
		}
		touched, releases := l.claimant.Apply(record.Offset, batch)
		l.enqueue(releases...)
		for _, key := range touched {
			l.wakeKey(key)
		}
	}
	fold := l.claimant.Fold()
	l.enqueue(l.claimant.Expire(page.Oldest)...)
	fold.DropAnswers(l.config.Now().Add(-l.window()).UnixMilli())
	if !l.caughtUp && fold.Next() >= page.Next {
		l.caughtUp = true
		l.signal()
		l.wakeAll()
	}
}

func (l *Log) window() time.Duration { return l.config.Window() }

func (l *Log) setReading(works bool, cause error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.reading == works {
		return
	}
	l.reading = works
	entry := log.WithField("stream", l.config.Stream)
	if works {
		entry.Info("claims are followed")
		return
	}
	entry.WithError(cause).Warn("claims cannot be read")
}

// enqueue adds ops to append. The caller holds the lock.
func (l *Log) enqueue(ops ...claims.Op) {
	if len(ops) == 0 {
		return
	}
	l.queue = append(l.queue, ops...)
	l.signal()
}

func (l *Log) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// changed returns a channel that closes when the key's state may have changed.
// The caller holds the lock.
func (l *Log) changed(key claims.Key) <-chan struct{} {
	ch, ok := l.waiters[key]
	if !ok {
		ch = make(chan struct{})
		l.waiters[key] = ch
	}
	return ch
}

func (l *Log) wakeKey(key claims.Key) {
	if ch, ok := l.waiters[key]; ok {
		close(ch)
		delete(l.waiters, key)
	}
}

func (l *Log) wakeAll() {
	for key := range l.waiters {
		l.wakeKey(key)
	}
}

// sleep waits for a while or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
