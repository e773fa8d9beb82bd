package claimlog

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"quetzalbend/internal/core/claims"
	"quetzalbend/internal/port"
)

const (
	maxAppendInterval = 500 * time.Millisecond
	appendTimeout     = 2 * time.Second
	flushPollInterval = 5 * time.Millisecond
)

// appendLoop appends queued ops, one record at a time, until ctx ends. The
// first record announces that this incarnation has started.
func (l *Log) appendLoop(ctx context.Context) {
	started := false
	interval := l.config.AppendInterval
	for ctx.Err() == nil {
		if !started || !l.Ready() || !l.hasQueuedOps() {
			select {
			case <-l.wake:
			case <-ctx.Done():
				return
			}
		}
		if !l.Ready() {
			continue
		}
		batch := l.takeBatch(!started)
		if !batch.Start && len(batch.Ops) == 0 {
			continue
		}
		err := l.append(ctx, batch)
		started = started || err == nil
		l.recordAppend(batch, err)
		interval = l.nextInterval(interval, err)
		sleep(ctx, interval)
		if !started {
			l.wakeAppender()
		}
	}
}

// nextInterval returns the interval before the next append. It doubles after a
// failed append, so that the agents together find the rate that the log
// accepts, and shrinks gradually otherwise.
func (l *Log) nextInterval(interval time.Duration, err error) time.Duration {
	if err != nil {
		return min(2*interval, maxAppendInterval)
	}
	return max(interval*9/10, l.config.AppendInterval)
}

func (l *Log) hasQueuedOps() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return len(l.queue) > 0
}

// takeBatch removes ops for one record from the queue and returns them.
func (l *Log) takeBatch(start bool) claims.Batch {
	l.lock.Lock()
	defer l.lock.Unlock()
	size, count := 0, 0
	for count < min(len(l.queue), maxBatchOps) && size < maxBatchBytes {
		if answer := l.queue[count].Answer; answer != nil {
			size += len(answer.Body)
		}
		count++
	}
	batch := claims.Batch{
		Target:      l.config.Target,
		Incarnation: l.config.Incarnation,
		Start:       start,
		StampMS:     l.config.Now().UnixMilli(),
		Ops:         append([]claims.Op(nil), l.queue[:count]...),
	}
	l.queue = append(l.queue[:0:0], l.queue[count:]...)
	l.appending = count > 0
	return batch
}

func (l *Log) append(ctx context.Context, batch claims.Batch) error {
	data, err := batch.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = l.config.Log.Append(ctx, l.config.Stream, [][]byte{data})
	return errors.Wrapf(err, "append to %s", l.config.Stream)
}

// recordAppend records the result of an append. A claim is appended only once.
// If the append certainly had no effect, its claims are dropped; if that is not
// known, the agent waits to read them from the log. All other ops are appended
// again until an append succeeds, since repeating them does no harm.
func (l *Log) recordAppend(batch claims.Batch, err error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.appending = false
	l.setAppendOK(err)
	if err == nil {
		l.appends++
		l.appendedOps += int64(len(batch.Ops))
		return
	}
	notAppended := errors.Is(err, port.ErrNotAppended)
	var retry []claims.Op
	for _, op := range batch.Ops {
		if op.Kind != claims.KindClaim {
			retry = append(retry, op)
			continue
		}
		if notAppended {
			l.claimant.Forget(claims.ID{Incarnation: l.config.Incarnation, Serial: op.Serial})
			l.wakeKey(op.Key)
		}
	}
	l.queue = append(retry, l.queue...)
}

// setAppendOK records whether the last append succeeded and logs a change. The
// caller holds the lock.
func (l *Log) setAppendOK(err error) {
	ok := err == nil
	if !ok {
		l.retryAppendAt = l.config.Now().Add(retryDelay)
	}
	if l.appendOK == ok {
		return
	}
	l.appendOK = ok
	entry := log.WithField("stream", l.config.Stream)
	if ok {
		entry.Info("claims can be appended again")
		return
	}
	entry.WithError(err).Warn("claims cannot be appended")
}

// Flush waits until all queued ops are appended or ctx ends.
func (l *Log) Flush(ctx context.Context) error {
	for !l.flushed() {
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "flush %s", l.config.Stream)
		}
		sleep(ctx, flushPollInterval)
	}
	return nil
}

func (l *Log) flushed() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return len(l.queue) == 0 && !l.appending
}
