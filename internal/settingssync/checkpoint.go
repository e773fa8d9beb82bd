package settingssync

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/port"
)

const (
	// checkpointRecords is the number of records after which a checkpoint is
	// due before its time, so that fresh nodes have little to replay.
	checkpointRecords = 5000
	// urgentSpread is the time over which nodes spread an urgent checkpoint.
	urgentSpread = 2 * time.Second
	// spreadPart is the part of the interval over which nodes spread a
	// checkpoint that is due.
	spreadPart = 10
	// checkEvery is the time between two looks at whether one is due.
	checkEvery = 30 * time.Second
)

// checkpointView is what a node knows of the checkpoints in the log.
type checkpointView struct {
	last   *settings.CheckpointClose // newest seen
	oldest int64                     // oldest record that the log keeps
	chunks int64                     // oldest record that the stream of chunks keeps
	since  time.Time                 // first read of the log; zero before it
}

// need says how soon a checkpoint is to be written.
type need int

const (
	notNeeded need = iota
	due            // at some time soon
	urgent         // fresh nodes can't load the settings without one
)

// needed decides whether the state at an offset needs a checkpoint.
func (v checkpointView) needed(offset int64, now time.Time, interval time.Duration) need {
	switch {
	case v.since.IsZero() || offset == settings.NoOffset:
		return notNeeded
	case v.last == nil && v.oldest > 0, v.last != nil && v.expires(offset):
		return urgent
	case v.last == nil:
		return dueIf(offset+1 >= checkpointRecords || now.Sub(v.since) >= interval)
	default:
		late := now.Sub(time.UnixMilli(v.last.UnixMS)) >= interval
		return dueIf(late || offset-v.last.Base >= checkpointRecords)
	}
}

// expires reports whether the newest checkpoint has lost records that a fresh
// reader needs, or soon will: its base is in the older half of what the log
// keeps.
func (v checkpointView) expires(offset int64) bool {
	if v.last.Chunks > 0 && v.last.First < v.chunks {
		return true
	}
	return v.oldest > 0 && v.last.Base+1-v.oldest < offset-v.last.Base
}

func dueIf(is bool) need {
	if is {
		return due
	}
	return notNeeded
}

// observe keeps what a page of the log tells about checkpoints.
func (n *Node) observe(records []numbered, oldest int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.checkpoint.noteOldest(oldest) {
		n.wakeAuthor()
	}
	for _, r := range records {
		if r.record.CheckpointClose != nil {
			n.checkpoint.noteClose(r.record.CheckpointClose)
		}
	}
}

// noteLoaded keeps what loading the state told about checkpoints.
func (n *Node) noteLoaded(from *loaded) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.checkpoint.noteOldest(from.oldest)
	n.wakeAuthor()
	if from.last != nil {
		n.checkpoint.noteClose(from.last)
	}
}

// noteOldest keeps the log's oldest offset and reports whether it is news.
func (v *checkpointView) noteOldest(oldest int64) bool {
	news := v.since.IsZero() || v.oldest != oldest
	v.oldest = oldest
	if v.since.IsZero() {
		v.since = time.Now()
	}
	return news
}

func (v *checkpointView) noteClose(end *settings.CheckpointClose) {
	if v.last == nil || end.Base > v.last.Base {
		v.last = end
	}
}

// checkpointNeed returns how soon this node is to write a checkpoint.
func (n *Node) checkpointNeed() need {
	offset, ok := n.store.offset()
	if !ok {
		return notNeeded
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.logHealthy {
		return notNeeded
	}
	return n.checkpoint.needed(offset, time.Now(), n.cfg.CheckpointInterval)
}

// authorCheckpoints writes checkpoints that are needed and that no other node
// writes, until ctx ends.
func (n *Node) authorCheckpoints(ctx context.Context) error {
	for ctx.Err() == nil {
		n.observeChunks(ctx)
		wanted := n.checkpointNeed()
		if wanted == notNeeded {
			n.awaitLook(ctx)
			continue
		}
		if err := n.checkpointUnlessAnother(ctx, wanted); err != nil && ctx.Err() == nil {
			n.counts.logErrors.Inc(1)
			log.WithField("node", n.cfg.Name).WithError(err).Warn("settings checkpoint failed")
			pause(ctx, n.cfg.RetryDelay)
		}
	}
	return nil
}

// observeChunks keeps what the stream of chunks still holds.
func (n *Node) observeChunks(ctx context.Context) {
	oldest, _, err := bounds(ctx, n.cfg.Log, port.CheckpointStream)
	if err != nil {
		return // the follower counts and logs that the log is away
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.checkpoint.chunks = oldest
}

// awaitLook waits until it is time to look again whether one is needed.
func (n *Node) awaitLook(ctx context.Context) {
	timer := time.NewTimer(jitter(min(checkEvery, n.cfg.CheckpointInterval/spreadPart)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.look:
	case <-ctx.Done():
	}
}

// wakeAuthor makes the node look at once whether a checkpoint is needed.
func (n *Node) wakeAuthor() {
	select {
	case n.look <- struct{}{}:
	default:
	}
}

// checkpointUnlessAnother writes a checkpoint after a random delay, unless one
// has come by then or another node is writing one.
func (n *Node) checkpointUnlessAnother(ctx context.Context, wanted need) error {
	spread := n.cfg.CheckpointInterval / spreadPart
	if wanted == urgent {
		spread = min(spread, urgentSpread)
	}
	_, before, err := bounds(ctx, n.cfg.Log, port.CheckpointStream)
	if err != nil {
		return err
	}
	if !pause(ctx, time.Duration(mathrand.Int64N(int64(spread)+1))) || n.checkpointNeed() == notNeeded {
		return nil
	}
	_, after, err := bounds(ctx, n.cfg.Log, port.CheckpointStream)
	if err != nil || after != before {
		return err
	}
	return n.writeCheckpoint(ctx)
}

// writeCheckpoint writes the state to the log, reads it back and closes it.
func (n *Node) writeCheckpoint(ctx context.Context) error {
	end, err := AppendCheckpoint(ctx, n.cfg.Log, n.store.copy(), n.cfg.Name)
	if err != nil {
		return err
	}
	n.counts.checkpoints.Inc(1)
	n.mu.Lock()
	n.checkpoint.noteClose(end)
	n.mu.Unlock()
	log.WithFields(log.Fields{"node": n.cfg.Name, "base": end.Base, "chunks": end.Chunks}).Info("settings checkpoint written")
	return nil
}

// AppendCheckpoint writes a checkpoint of a state. The state at its offset
// never changes, so it does no harm if the author is slow or paused.
func AppendCheckpoint(ctx context.Context, to port.Log, state *settings.State, author string) (*settings.CheckpointClose, error) {
	chunks, end := state.Checkpoint(rand.Text())
	end.Author = author
	_, first, err := bounds(ctx, to, port.CheckpointStream)
	if err != nil {
		return nil, err
	}
	end.First = first
	for i := range chunks {
		if err := appendRecord(ctx, to, port.CheckpointStream, settings.Record{CheckpointChunk: &chunks[i]}); err != nil {
			return nil, errors.Wrapf(err, "checkpoint of settings at offset %d: chunk %d", end.Base, i)
		}
	}
	if _, end.End, err = bounds(ctx, to, port.CheckpointStream); err != nil {
		return nil, err
	}
	if _, err := restore(ctx, to, &end); err != nil {
		return nil, errors.Wrap(err, "read checkpoint back")
	}
	end.UnixMS = time.Now().UnixMilli()
	err = appendRecord(ctx, to, port.SettingsStream, settings.Record{CheckpointClose: &end})
	return &end, errors.Wrapf(err, "checkpoint of settings at offset %d: close", end.Base)
}

// appendRecord appends one record that may land twice without harm. It tries
// again while the log refuses it.
func appendRecord(ctx context.Context, to port.Log, stream string, record settings.Record) error {
	data, err := settings.EncodeRecord(record)
	if err != nil {
		return err
	}
	for {
		_, err := to.Append(ctx, stream, [][]byte{data})
		if !errors.Is(err, port.ErrNotAppended) {
			return err
		}
		if !pause(ctx, DefaultRetryDelay) {
			return err
		}
	}
}
