package settingssync

import (
	"context"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/port"
)

// readRecords is the largest number of records in one read.
const readRecords = 500

// maxRetryDelays is how far the delay after failed reads grows, in first delays.
const maxRetryDelays = 8

// follow folds the log until ctx ends.
func (n *Node) follow(ctx context.Context) error {
	delay := n.cfg.RetryDelay
	for ctx.Err() == nil {
		err := n.followOnce(ctx)
		n.noteLog(ctx, err)
		if err == nil {
			delay = n.cfg.RetryDelay
			continue
		}
		pause(ctx, delay)
		delay = min(2*delay, maxRetryDelays*n.cfg.RetryDelay)
	}
	return nil
}

// followOnce loads the state, or reads one page and folds it.
func (n *Node) followOnce(ctx context.Context) error {
	offset, ok := n.store.offset()
	if !ok {
		return n.load(ctx)
	}
	page, err := n.cfg.Log.Read(ctx, port.SettingsStream, offset+1, readRecords, n.cfg.ReadWait)
	if errors.Is(err, port.ErrExpired) {
		n.counts.expired.Inc(1)
		return n.load(ctx)
	}
	if err != nil {
		return err
	}
	if page.Next <= offset {
		return errors.Errorf("read %s: log ends at offset %d, below the settings at %d", port.SettingsStream, page.Next, offset)
	}
	records := n.decode(page.Records)
	accepted, rejected, err := n.store.apply(records)
	n.counts.accepted.Inc(int64(accepted))
	n.counts.rejected.Inc(int64(rejected))
	n.observe(records, page.Oldest)
	return err
}

// load brings the node from the log to the log's end, by a checkpoint where
// the first records are gone.
func (n *Node) load(ctx context.Context) error {
	loaded, err := loadFromLog(ctx, n.cfg.Log)
	if err != nil {
		return err
	}
	n.store.install(loaded.state, loaded.from, loaded.judged)
	n.noteLoaded(loaded)
	n.noteReady()
	log.WithFields(log.Fields{"node": n.cfg.Name, "offset": loaded.state.Offset()}).Info("settings loaded from the log")
	return nil
}

// decode parses records. One that can't be parsed has no effect.
func (n *Node) decode(records []port.Record) []numbered {
	decoded := make([]numbered, 0, len(records))
	for _, r := range records {
		record, err := settings.DecodeRecord(r.Data)
		if err != nil {
			n.counts.undecodable.Inc(1)
		}
		decoded = append(decoded, numbered{offset: r.Offset, record: record})
	}
	return decoded
}

// noteLog keeps whether the log answers, and logs changes of that.
func (n *Node) noteLog(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		n.counts.logErrors.Inc(1)
	}
	n.noteMoved()
	n.mu.Lock()
	before := n.logHealthy
	n.logHealthy = err == nil
	n.logTried = true
	n.mu.Unlock()
	switch {
	case before && err != nil:
		log.WithField("node", n.cfg.Name).WithError(err).Warn("settings log is away")
	case !before && err == nil:
		log.WithField("node", n.cfg.Name).Info("settings log answers")
	}
}

// noteMoved keeps the offset as a metric.
func (n *Node) noteMoved() {
	if offset, ok := n.store.offset(); ok {
		n.counts.offset.Update(offset)
	}
}

// LogHealthy reports whether the last read of the log succeeded.
func (n *Node) LogHealthy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.logHealthy
}
