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
	readBatchSize = 256 // largest number of records in one read
	readWait      = time.Second
	retryDelay    = 100 * time.Millisecond
	settlePoll    = 20 * time.Millisecond // between reads while other agents append lost records again
	maxBatchOps   = 512
	maxBatchBytes = 256 << 10 // no further op is added to a record with this many answer bytes
)

// Config holds the identity of the agent, its stream in the log and its
// timeouts. Zero durations get the defaults.
type Config struct {
	Log            port.Log
	Stream         string
	Target         string
	Incarnation    string
	AppendInterval time.Duration        // shortest time between two appends
	ClaimTimeout   time.Duration        // time within which a claim must be decided
	Window         func() time.Duration // age up to which keys are accepted
	Now            func() time.Time
}

// Log makes and follows the claims of one service at one agent.
type Log struct {
	config Config

	lock          sync.Mutex
	claimant      *claims.Claimant
	era           eraState
	queue         []claims.Op
	appending     bool                         // an append with ops is in progress
	waiters       map[claims.Key]chan struct{} // closed when the key's state may have changed
	caughtUp      bool
	readOK        bool      // the last read of the log succeeded
	appendOK      bool      // the last append succeeded
	retryAppendAt time.Time // after a failed append: when claims are accepted again

	wake        chan struct{} // signals that there may be something to append
	appends     int64
	appendedOps int64
}

// New returns a Log that has read no records. Call Run to start it.
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
		claimant: claims.NewClaimant(config.Incarnation, claims.NewReplica(0)),
		waiters:  make(map[claims.Key]chan struct{}),
		appendOK: true,
		wake:     make(chan struct{}, 1),
	}
}

// Run reads and appends to the log until ctx ends. Ops that are still queued
// then are lost; call Flush first.
func (l *Log) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { l.readLoop(ctx); return nil })
	group.Go(func() error { l.appendLoop(ctx); return nil })
	return group.Wait()
}

// Available reports whether new keys can be claimed now.
func (l *Log) Available() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.available()
}

// available is Available for callers that hold the lock. After a failed append
// new claims are refused for retryDelay; the next one then tests whether
// appends succeed again.
func (l *Log) available() bool {
	return l.caughtUp && l.readOK && (l.appendOK || l.config.Now().After(l.retryAppendAt))
}

// Ready reports whether the stream has been read to its end once.
func (l *Log) Ready() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.caughtUp
}

// Counts returns the number of successful appends and of the ops in them.
func (l *Log) Counts() (appends, ops int64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.appends, l.appendedOps
}

// readLoop reads the stream, from its oldest record on, until ctx ends.
func (l *Log) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := l.config.Log.Read(ctx, l.config.Stream, l.nextOffset(), readBatchSize, l.readTimeout())
		switch {
		case (err == nil || errors.Is(err, port.ErrExpired)) && l.beginEra(page):
		case errors.Is(err, port.ErrExpired):
			l.reset(page.Oldest)
		case ctx.Err() != nil:
			return
		case err != nil:
			l.setReadOK(false, err)
			sleep(ctx, retryDelay)
		default:
			l.applyPage(page)
			l.catchUp(ctx, page)
		}
	}
}

func (l *Log) nextOffset() int64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.claimant.Replica().Next()
}

// readTimeout returns how long a read waits for new records. It is zero until
// the stream has been read to its end, so that an agent that starts does not
// wait for others to append.
func (l *Log) readTimeout() time.Duration {
	if !l.Ready() {
		return 0
	}
	return readWait
}

// reset discards the state that was read from the stream and starts a new
// claims.Replica at the oldest record, after unread records have expired.
func (l *Log) reset(oldest int64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.enqueue(l.claimant.Reset(oldest)...)
	l.wakeAll()
}

// applyPage applies the records of a page.
func (l *Log) applyPage(page port.Page) {
	l.setReadOK(true, nil)
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, record := range page.Records {
		if record.Offset != l.claimant.Replica().Next() {
			return // read again from the replica's next offset
		}
		batch, err := claims.DecodeBatch(record.Data)
		if err != nil {
			batch = claims.Batch{}
		}
		touched, releases := l.claimant.Apply(record.Offset, batch)
		l.enqueue(releases...)
		l.era.history.Remember(record.Data, l.config.Now())
		for _, key := range touched {
			l.wakeKey(key)
		}
	}
	replica := l.claimant.Replica()
	l.enqueue(l.claimant.Expire(page.Oldest)...)
	replica.DropAnswers(l.config.Now().Add(-l.window()).UnixMilli())
}

// catchUp accepts new keys once the stream has been read to its end and holds all that it
// may have lost.
func (l *Log) catchUp(ctx context.Context, page port.Page) {
	if l.Ready() {
		return
	}
	if err := l.rewriteLost(ctx, page); err != nil {
		log.WithField("stream", l.config.Stream).WithError(err).Warn("lost claims cannot be appended again")
		sleep(ctx, retryDelay)
		return
	}
	l.lock.Lock()
	atEnd := l.claimant.Replica().Next() >= page.Next
	l.caughtUp = atEnd && l.recovered()
	caughtUp := l.caughtUp
	if caughtUp {
		l.wakeAppender()
		l.wakeAll()
	}
	l.lock.Unlock()
	if atEnd && !caughtUp {
		sleep(ctx, settlePoll)
	}
}

func (l *Log) window() time.Duration { return l.config.Window() }

// setReadOK records whether the last read succeeded and logs a change.
func (l *Log) setReadOK(ok bool, cause error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.readOK == ok {
		return
	}
	l.readOK = ok
	entry := log.WithField("stream", l.config.Stream)
	if ok {
		entry.Info("claims can be read")
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
	l.wakeAppender()
}

func (l *Log) wakeAppender() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// changed returns a channel that is closed when the key's state may have changed.
// The caller holds the lock.
func (l *Log) changed(key claims.Key) <-chan struct{} {
	ch, ok := l.waiters[key]
	if !ok {
		ch = make(chan struct{})
		l.waiters[key] = ch
	}
	return ch
}

// wakeKey wakes the requests that wait for a key. The caller holds the lock.
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

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
