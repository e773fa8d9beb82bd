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
	// checkpointAfterRecords is the number of records after which a checkpoint
	// is due even before the interval has passed, so that fresh nodes have
	// little to replay.
	checkpointAfterRecords = 5000
	// maxUrgentDelay bounds the random delay before an urgent checkpoint.
	maxUrgentDelay = 2 * time.Second
	// spreadDivisor bounds the random delay before a checkpoint that is due: to
	// the interval divided by this. The delay spreads the nodes over time.
	spreadDivisor = 10
	// checkpointCheckInterval bounds the time, before jitter, between two checks
	// whether a checkpoint is needed.
	checkpointCheckInterval = 30 * time.Second
)

// checkpointView is what a node knows about the checkpoints in the log.
type checkpointView struct {
	last        *settings.CheckpointClose // closing record of the newest checkpoint seen
	oldest      int64                     // offset of the oldest record in the settings stream
	oldestChunk int64                     // offset of the oldest record in the checkpoint stream
	firstRead   time.Time                 // time of the first read of the log; zero before it
}

// urgency says how soon a checkpoint has to be written.
type urgency int

const (
	notNeeded urgency = iota
	due               // within the interval divided by spreadDivisor
	urgent            // fresh nodes can't load the settings without one
)

// urgencyAt returns how soon the state at an offset needs a checkpoint.
func (v checkpointView) urgencyAt(offset int64, now time.Time, interval time.Duration) urgency {
	switch {
	case v.firstRead.IsZero() || offset == settings.NoOffset:
		return notNeeded
	case v.last == nil && v.oldest > 0, v.last != nil && v.isExpiring(offset):
		return urgent
	case v.last == nil:
		return dueIf(offset+1 >= checkpointAfterRecords || now.Sub(v.firstRead) >= interval)
	default:
		late := now.Sub(time.UnixMilli(v.last.UnixMS)) >= interval
		return dueIf(late || offset-v.last.Base >= checkpointAfterRecords)
	}
}

// isExpiring reports whether the newest checkpoint has expired or soon will, so
// that a fresh reader can't load it: some of its chunks are gone, or its base is
// in the older half of the records that the log keeps.
func (v checkpointView) isExpiring(offset int64) bool {
	if v.last.Chunks > 0 && v.last.First < v.oldestChunk {
		return true
	}
	return v.oldest > 0 && v.last.Base+1-v.oldest < offset-v.last.Base
}

// dueIf returns due or notNeeded.
func dueIf(needed bool) urgency {
	if needed {
		return due
	}
	return notNeeded
}

// recordPage updates the checkpoint view from a page of the settings stream.
func (n *Node) recordPage(records []decodedRecord, oldest int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.checkpoint.recordOldest(oldest) {
		n.wakeCheckpoints()
	}
	for _, r := range records {
		if r.record.CheckpointClose != nil {
			n.checkpoint.recordClose(r.record.CheckpointClose)
		}
	}
}

// recordLoaded updates the checkpoint view after the state was loaded.
func (n *Node) recordLoaded(loaded *loadResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.checkpoint.recordOldest(loaded.oldest)
	n.wakeCheckpoints()
	if loaded.last != nil {
		n.checkpoint.recordClose(loaded.last)
	}
}

// recordOldest records the log's oldest offset and reports whether it changed or
// was not known.
func (v *checkpointView) recordOldest(oldest int64) bool {
	changed := v.firstRead.IsZero() || v.oldest != oldest
	v.oldest = oldest
	if v.firstRead.IsZero() {
		v.firstRead = time.Now()
	}
	return changed
}

// recordClose records the newest checkpoint.
func (v *checkpointView) recordClose(closing *settings.CheckpointClose) {
	if v.last == nil || closing.Base > v.last.Base {
		v.last = closing
	}
}

// checkpointUrgency returns how soon this node has to write a checkpoint. A node
// without settings or that can't read the log writes none.
func (n *Node) checkpointUrgency() urgency {
	offset, ok := n.store.offset()
	if !ok {
		return notNeeded
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.logHealthy {
		return notNeeded
	}
	return n.checkpoint.urgencyAt(offset, time.Now(), n.cfg.CheckpointInterval)
}

// runCheckpoints writes the checkpoints that are needed and that no other node
// writes first, until ctx ends.
func (n *Node) runCheckpoints(ctx context.Context) error {
	for ctx.Err() == nil {
		n.recordOldestChunk(ctx)
		wanted := n.checkpointUrgency()
		if wanted == notNeeded {
			n.awaitCheckpointCheck(ctx)
			continue
		}
		if err := n.checkpointAfterDelay(ctx, wanted); err != nil && ctx.Err() == nil {
			n.counts.logErrors.Inc(1)
			log.WithField("node", n.cfg.Name).WithError(err).Warn("settings checkpoint failed")
			pause(ctx, n.cfg.RetryDelay)
		}
	}
	return nil
}

// recordOldestChunk records the oldest offset of the checkpoint stream.
func (n *Node) recordOldestChunk(ctx context.Context) {
	oldest, _, err := streamBounds(ctx, n.cfg.Log, port.CheckpointStream)
	if err != nil {
		return // recordLogHealth counts and logs that the log is unavailable
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.checkpoint.oldestChunk = oldest
}

// awaitCheckpointCheck waits until it is time to check again whether a
// checkpoint is needed.
func (n *Node) awaitCheckpointCheck(ctx context.Context) {
	timer := time.NewTimer(jitter(min(checkpointCheckInterval, n.cfg.CheckpointInterval/spreadDivisor)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.checkpointWake:
	case <-ctx.Done():
	}
}

// wakeCheckpoints makes the node check at once whether a checkpoint is needed.
func (n *Node) wakeCheckpoints() {
	select {
	case n.checkpointWake <- struct{}{}:
	default:
	}
}

// checkpointAfterDelay writes a checkpoint after a random delay, unless none is
// needed any more by then or another node has begun to write one.
func (n *Node) checkpointAfterDelay(ctx context.Context, wanted urgency) error {
	maxDelay := n.cfg.CheckpointInterval / spreadDivisor
	if wanted == urgent {
		maxDelay = min(maxDelay, maxUrgentDelay)
	}
	_, before, err := streamBounds(ctx, n.cfg.Log, port.CheckpointStream)
	if err != nil {
		return err
	}
	if !pause(ctx, time.Duration(mathrand.Int64N(int64(maxDelay)+1))) || n.checkpointUrgency() == notNeeded {
		return nil
	}
	_, after, err := streamBounds(ctx, n.cfg.Log, port.CheckpointStream)
	if err != nil || after != before {
		return err
	}
	return n.writeCheckpoint(ctx)
}

// writeCheckpoint writes a checkpoint of the node's state.
func (n *Node) writeCheckpoint(ctx context.Context) error {
	closing, err := AppendCheckpoint(ctx, n.cfg.Log, n.store.copy(), n.cfg.Name)
	if err != nil {
		return err
	}
	n.counts.checkpoints.Inc(1)
	n.mu.Lock()
	n.checkpoint.recordClose(closing)
	n.mu.Unlock()
	log.WithFields(log.Fields{"node": n.cfg.Name, "base": closing.Base, "chunks": closing.Chunks}).Info("settings checkpoint written")
	return nil
}

// AppendCheckpoint appends the chunks of a checkpoint of state, reads them back
// and then appends the closing record. The author may be slow or paused without
// harm, since the state at an offset never changes.
func AppendCheckpoint(ctx context.Context, to port.Log, state *settings.State, author string) (*settings.CheckpointClose, error) {
	chunks, closing := state.Checkpoint(rand.Text())
	closing.Author = author
	_, first, err := streamBounds(ctx, to, port.CheckpointStream)
	if err != nil {
		return nil, err
	}
	closing.First = first
	for i := range chunks {
		if err := appendRecord(ctx, to, port.CheckpointStream, settings.Record{CheckpointChunk: &chunks[i]}); err != nil {
			return nil, errors.Wrapf(err, "append checkpoint of settings at offset %d: chunk %d", closing.Base, i)
		}
	}
	if _, closing.End, err = streamBounds(ctx, to, port.CheckpointStream); err != nil {
		return nil, err
	}
	if _, err := readCheckpoint(ctx, to, &closing); err != nil {
		return nil, errors.Wrap(err, "read checkpoint back")
	}
	closing.UnixMS = time.Now().UnixMilli()
	err = appendRecord(ctx, to, port.SettingsStream, settings.Record{CheckpointClose: &closing})
	return &closing, errors.Wrapf(err, "append checkpoint of settings at offset %d: closing record", closing.Base)
}

// appendRecord appends one record, and tries again while the log reports that it
// did not append it. Appending a record twice must do no harm.
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
