package settingssync

import (
	"context"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/port"
)

// maxReplayWithoutCheckpoint is the length up to which a reader applies the
// whole log, if no record of it is gone, rather than look for a checkpoint.
const maxReplayWithoutCheckpoint = 1000

// errNoCheckpoint reports that the log holds no usable checkpoint.
var errNoCheckpoint = errors.New("no usable checkpoint in the log")

// loadResult is a state read from the log.
type loadResult struct {
	state        *settings.State
	replayedFrom int64                     // offset of the checkpoint or empty state at which the replay started
	decided      []settings.DecidedWrite   // writes of the replay
	last         *settings.CheckpointClose // closing record of the newest checkpoint seen
	oldest       int64                     // offset of the oldest record in the settings stream
	era          int64                     // of the log when the load began
	records      [][]byte                  // records of the replay
}

// Load returns the settings at the log's end, as a fresh node would load them.
func Load(ctx context.Context, log port.Log) (*settings.Snapshot, error) {
	result, err := loadFromLog(ctx, log)
	if err != nil {
		return nil, err
	}
	return result.state.Snapshot(), nil
}

// loadFromLog returns the state at the log's end. It starts from the newest
// usable checkpoint if records are gone or the log is long.
func loadFromLog(ctx context.Context, log port.Log) (*loadResult, error) {
	bounds, err := firstPage(ctx, log, port.SettingsStream)
	if err != nil {
		return nil, err
	}
	oldest, next := bounds.Oldest, bounds.Next
	result := &loadResult{oldest: oldest, era: bounds.Era, state: settings.NewState()}
	if oldest > 0 || next > maxReplayWithoutCheckpoint {
		state, closing, err := newestCheckpoint(ctx, log, oldest, next)
		if err != nil && (oldest > 0 || !errors.Is(err, errNoCheckpoint)) {
			return nil, err
		}
		if err == nil {
			result.state, result.last = state, closing
		}
	}
	result.replayedFrom = result.state.Offset()
	return result, result.replay(ctx, log, next)
}

// replay applies the records below the offset next.
func (l *loadResult) replay(ctx context.Context, log port.Log, next int64) error {
	return scan(ctx, log, port.SettingsStream, l.state.Offset()+1, next, func(r port.Record) error {
		record, _ := settings.DecodeRecord(r.Data) // one that can't be parsed has no effect
		decided, err := l.state.Apply(r.Offset, record)
		if err != nil {
			return err
		}
		l.records = append(l.records, r.Data)
		if decided != nil {
			l.decided = append(l.decided, *decided)
		}
		if record.CheckpointClose != nil {
			l.last = record.CheckpointClose
		}
		return nil
	})
}

// streamBounds returns the offset of the oldest record of a stream and the
// offset of the next append.
func streamBounds(ctx context.Context, log port.Log, stream string) (oldest, next int64, err error) {
	page, err := firstPage(ctx, log, stream)
	return page.Oldest, page.Next, err
}

// firstPage returns a page with the bounds of a stream and the log's era.
func firstPage(ctx context.Context, log port.Log, stream string) (port.Page, error) {
	page, err := log.Read(ctx, stream, 0, 1, 0)
	if err != nil && !errors.Is(err, port.ErrExpired) {
		return port.Page{}, err
	}
	return page, nil
}

// scan calls visit for each record of a stream from offset from, which is
// included, to next, which is not.
func scan(ctx context.Context, log port.Log, stream string, from, next int64, visit func(port.Record) error) error {
	for from < next {
		limit := int(min(next-from, maxReadRecords))
		page, err := log.Read(ctx, stream, from, limit, 0)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return errors.Errorf("read %s: no record at offset %d, want all below %d", stream, from, next)
		}
		for _, record := range page.Records {
			if err := visit(record); err != nil {
				return err
			}
		}
		from += int64(len(page.Records))
	}
	return nil
}

// newestCheckpoint searches backwards from the log's end for the newest complete
// checkpoint whose following records are all in the log, and restores it.
func newestCheckpoint(ctx context.Context, log port.Log, oldest, next int64) (*settings.State, *settings.CheckpointClose, error) {
	for next > oldest {
		first := max(oldest, next-maxReadRecords)
		closings, err := checkpointsBetween(ctx, log, first, next)
		if err != nil {
			return nil, nil, err
		}
		for i := len(closings) - 1; i >= 0; i-- {
			if closings[i].Base+1 < oldest {
				continue
			}
			state, err := readCheckpoint(ctx, log, closings[i])
			if err == nil {
				return state, closings[i], nil
			}
			if ctx.Err() != nil {
				return nil, nil, err
			}
		}
		next = first
	}
	return nil, nil, errNoCheckpoint
}

// checkpointsBetween returns the closing records from offset first up to, but
// not including, next.
func checkpointsBetween(ctx context.Context, log port.Log, first, next int64) ([]*settings.CheckpointClose, error) {
	var closings []*settings.CheckpointClose
	err := scan(ctx, log, port.SettingsStream, first, next, func(r port.Record) error {
		record, err := settings.DecodeRecord(r.Data)
		if err == nil && record.CheckpointClose != nil && record.CheckpointClose.Base < r.Offset {
			closings = append(closings, record.CheckpointClose)
		}
		return nil
	})
	return closings, err
}

// readCheckpoint reads the chunks of a checkpoint and restores the state.
func readCheckpoint(ctx context.Context, log port.Log, closing *settings.CheckpointClose) (*settings.State, error) {
	var chunks []settings.CheckpointChunk
	err := scan(ctx, log, port.CheckpointStream, closing.First, closing.End, func(r port.Record) error {
		record, err := settings.DecodeRecord(r.Data)
		if err == nil && record.CheckpointChunk != nil && record.CheckpointChunk.Checkpoint == closing.Checkpoint {
			chunks = append(chunks, *record.CheckpointChunk)
		}
		return nil
	})
	if err != nil {
		return nil, errors.Wrapf(err, "restore checkpoint %s", closing.Checkpoint)
	}
	return settings.Restore(closing, chunks)
}
