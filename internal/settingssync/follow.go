package settingssync

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/port"
)

// maxReadRecords is the highest number of records in one read of the log.
const maxReadRecords = 500

// maxRetryDelayFactor bounds the growing delay after failed reads, as a multiple
// of Config.RetryDelay.
const maxRetryDelayFactor = 8

// follow applies the records of the settings stream until ctx ends.
func (n *Node) follow(ctx context.Context) error {
	delay := n.cfg.RetryDelay
	for ctx.Err() == nil {
		err := n.followOnce(ctx)
		n.recordLogHealth(ctx, err)
		if err == nil {
			delay = n.cfg.RetryDelay
			continue
		}
		pause(ctx, delay)
		delay = min(2*delay, maxRetryDelayFactor*n.cfg.RetryDelay)
	}
	return nil
}

// followOnce loads the state if there is none or the next records have expired;
// otherwise it reads one page of records and applies it.
func (n *Node) followOnce(ctx context.Context) error {
	offset, ok := n.store.offset()
	if !ok {
		return n.load(ctx)
	}
	page, err := n.cfg.Log.Read(ctx, port.SettingsStream, offset+1, maxReadRecords, n.cfg.ReadWait)
	if (err == nil || errors.Is(err, port.ErrExpired)) && page.Era != n.era {
		return n.recover(ctx, page.Era)
	}
	if errors.Is(err, port.ErrExpired) {
		n.counts.expired.Inc(1)
		return n.load(ctx)
	}
	if err != nil {
		return err
	}
	if page.Next <= offset {
		return errors.Errorf("read %s: the log ends at offset %d, but the settings are at offset %d", port.SettingsStream, page.Next, offset)
	}
	for _, record := range page.Records {
		n.history.Remember(record.Data, time.Now())
	}
	records := n.decodeRecords(page.Records)
	accepted, rejected, err := n.store.apply(records)
	n.counts.accepted.Inc(int64(accepted))
	n.counts.rejected.Inc(int64(rejected))
	n.recordPage(records, page.Oldest)
	return err
}

// load reads the state at the log's end from the log, starting from a checkpoint
// if the first records are gone or the log is long.
func (n *Node) load(ctx context.Context) error {
	result, err := loadFromLog(ctx, n.cfg.Log)
	if err != nil {
		return err
	}
	n.store.install(result.state, result.replayedFrom, result.decided)
	n.era = result.era
	for _, data := range result.records {
		n.history.Remember(data, time.Now())
	}
	n.recordLoaded(result)
	n.markReady()
	log.WithFields(log.Fields{"node": n.cfg.Name, "offset": result.state.Offset()}).Info("settings loaded from the log")
	return nil
}

// decodeRecords parses records. One that can't be parsed has no effect, but is
// counted.
func (n *Node) decodeRecords(records []port.Record) []decodedRecord {
	decoded := make([]decodedRecord, 0, len(records))
	for _, r := range records {
		record, err := settings.DecodeRecord(r.Data)
		if err != nil {
			n.counts.undecodable.Inc(1)
		}
		decoded = append(decoded, decodedRecord{offset: r.Offset, record: record})
	}
	return decoded
}

// recordLogHealth records whether the last read of the log succeeded, and logs
// when this changes.
func (n *Node) recordLogHealth(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		n.counts.logErrors.Inc(1)
	}
	n.updateOffsetMetric()
	n.mu.Lock()
	before := n.logHealthy
	n.logHealthy = err == nil
	n.logTried = true
	n.mu.Unlock()
	switch {
	case before && err != nil:
		log.WithField("node", n.cfg.Name).WithError(err).Warn("settings log unavailable")
	case !before && err == nil:
		log.WithField("node", n.cfg.Name).Info("settings log available")
	}
}

// updateOffsetMetric sets the metric of the node's offset.
func (n *Node) updateOffsetMetric() {
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
