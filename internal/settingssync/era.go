package settingssync

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/port"
)

// maxRecovered is the number of the log's newest records that are compared with those that
// a node has read.
const maxRecovered = 4096

// recover goes on in a new era of the log, which came back from an older copy of itself:
// it writes again what the log has lost and this node has read, and loads the state again.
// Until then the settings in force stay in force.
func (n *Node) recover(ctx context.Context, era int64) error {
	n.history.BeginEra()
	oldest, next, err := streamBounds(ctx, n.cfg.Log, port.SettingsStream)
	if err != nil {
		return err
	}
	err = scan(ctx, n.cfg.Log, port.SettingsStream, max(oldest, next-maxRecovered), next, func(r port.Record) error {
		n.history.Remember(r.Data, time.Now())
		return nil
	})
	if err != nil {
		return err
	}
	if err := n.writeAgain(ctx, era, next); err != nil {
		return errors.Wrap(err, "write lost settings again")
	}
	result, err := loadFromLog(ctx, n.cfg.Log)
	if err != nil {
		return err
	}
	n.store.replace(result.state, result.replayedFrom, result.decided)
	n.history.Forget()
	n.era = result.era
	n.recordLoaded(result)
	return nil
}

// writeAgain appends what the log has lost of the settings in force.
func (n *Node) writeAgain(ctx context.Context, era, next int64) error {
	loss := settings.Loss{
		Known: n.Snapshot(), Next: next, Lost: n.writesIn(n.history.Missing()), Present: n.writesIn(n.history.New()),
	}
	records := loss.Restore()
	log.WithFields(log.Fields{
		"node": n.cfg.Name, "era": era, "next": next, "read_to": loss.Known.Offset(), "lost": len(loss.Lost), "records": len(records),
	}).Warn("settings log came back from a copy")
	if len(records) == 0 {
		return nil
	}
	encoded := make([][]byte, len(records))
	for i, record := range records {
		data, err := settings.EncodeRecord(record)
		if err != nil {
			return err
		}
		encoded[i] = data
	}
	_, err := n.cfg.Log.Append(ctx, port.SettingsStream, encoded)
	return err
}

// writesIn returns the writes among records.
func (n *Node) writesIn(records [][]byte) []settings.Write {
	var writes []settings.Write
	for _, data := range records {
		record, err := settings.DecodeRecord(data)
		switch {
		case err != nil:
			n.counts.undecodable.Inc(1)
		case record.Write != nil:
			writes = append(writes, *record.Write)
		}
	}
	return writes
}
