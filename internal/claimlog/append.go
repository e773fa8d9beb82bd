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
	flushPoll         = 5 * time.Millisecond
)

// appendAll appends queued ops, one record at a time, until ctx ends. The first
// record says that this incarnation has started.
func (l *Log) appendAll(ctx context.Context) {
	started := false
	interval := l.config.AppendInterval
	for ctx.Err() == nil {
		if !started || !l.pendingOps() {
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
		l.settle(batch, err)
		interval = l.nextInterval(interval, err)
		sleep(ctx, interval)
		if !started {
			l.signal()
		}
	}
}

// nextInterval doubles the interval after a refusal, so that agents together
// find the rate that the log takes, and shortens it step by step otherwise.
func (l *Log) nextInterval(interval time.Duration, err error) time.Duration {
	if err != nil {
		return min(2*interval, maxAppendInterval)
	}
	return max(interval*9/10, l.config.AppendInterval)
}

func (l *Log) pendingOps() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return len(l.queue) > 0
}

// takeBatch takes ops from the queue for one record.
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
	l.sending = count > 0
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

// settle notes how an append ended. Claims are appended once only: refused
// ones are given up at once, and those of unknown fate are waited for. All
// other ops are appended until that has worked, since repeats do no harm.
func (l *Log) settle(batch claims.Batch, err error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.sending = false
	l.setWriting(err)
	if err == nil {
		l.appends++
		l.appended += int64(len(batch.Ops))
		return
	}
	refused := errors.Is(err, port.ErrNotAppended)
	var again []claims.Op
	for _, op := range batch.Ops {
		if op.Kind != claims.KindClaim {
			again = append(again, op)
			continue
		}
		if refused {
			l.claimant.Forget(claims.ID{Incarnation: l.config.Incarnation, Serial: op.Serial})
			l.wakeKey(op.Key)
		}
	}
	l.queue = append(again, l.queue...)
}

func (l *Log) setWriting(err error) {
	works := err == nil
	if !works {
		l.retryAt = l.config.Now().Add(retryDelay)
	}
	if l.writing == works {
		return
	}
	l.writing = works
	entry := log.WithField("stream", l.config.Stream)
	if works {
		entry.Info("claims are appended")
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
		sleep(ctx, flushPoll)
	}
	return nil
}

func (l *Log) flushed() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return len(l.queue) == 0 && !l.sending
}
