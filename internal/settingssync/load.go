package settingssync

import (
	"context"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/port"
)

// replayWithoutCheckpoint is the number of records up to which a reader folds
// the whole log rather than look for a checkpoint.
const replayWithoutCheckpoint = 1000

// errNoCheckpoint reports that the log holds no usable checkpoint.
var errNoCheckpoint = errors.New("no usable checkpoint in the log")

// loaded is a state read from the log.
type loaded struct {
	state  *settings.State
	from   int64 // offset from which the records were folded
	judged []settings.DecidedWrite
	last   *settings.CheckpointClose // newest checkpoint seen
	oldest int64
}

// Load returns the settings at the log's end, as a fresh node loads them.
func Load(ctx context.Context, log port.Log) (*settings.Snapshot, error) {
	loaded, err := loadFromLog(ctx, log)
	if err != nil {
		return nil, err
	}
	return loaded.state.Snapshot(), nil
}

// loadFromLog folds the log up to its end.
func loadFromLog(ctx context.Context, log port.Log) (*loaded, error) {
	oldest, next, err := bounds(ctx, log, port.SettingsStream)
	if err != nil {
		return nil, err
	}
	result := &loaded{oldest: oldest, state: settings.NewState()}
	if oldest > 0 || next > replayWithoutCheckpoint {
		state, end, err := newestCheckpoint(ctx, log, oldest, next)
		if err != nil && (oldest > 0 || !errors.Is(err, errNoCheckpoint)) {
			return nil, err
		}
		if err == nil {
			result.state, result.last = state, end
		}
	}
	result.from = result.state.Offset()
	return result, result.replay(ctx, log, next)
}

// replay folds the records up to the offset next.
func (l *loaded) replay(ctx context.Context, log port.Log, next int64) error {
	return scan(ctx, log, port.SettingsStream, l.state.Offset()+1, next, func(r port.Record) error {
		record, _ := settings.DecodeRecord(r.Data) // one that can't be parsed has no effect
		judged, err := l.state.Apply(r.Offset, record)
		if err != nil {
			return err
		}
		if judged != nil {
			l.judged = append(l.judged, *judged)
		}
		if record.CheckpointClose != nil {
			l.last = record.CheckpointClose
		}
		return nil
	})
}

// bounds returns the offset of the oldest record of a stream and that of the
// next append.
func bounds(ctx context.Context, log port.Log, stream string) (oldest, next int64, err error) {
	page, err := log.Read(ctx, stream, 0, 1, 0)
	if err != nil && !errors.Is(err, port.ErrExpired) {
		return 0, 0, err
	}
	return page.Oldest, page.Next, nil
}

// scan calls visit for each record from an offset up to another.
func scan(ctx context.Context, log port.Log, stream string, from, next int64, visit func(port.Record) error) error {
	for from < next {
		limit := int(min(next-from, readRecords))
		page, err := log.Read(ctx, stream, from, limit, 0)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return errors.Errorf("read %s: no record at offset %d of %d", stream, from, next)
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

// newestCheckpoint looks backwards from the log's end for the newest complete
// checkpoint whose following records are all still there, and restores it.
func newestCheckpoint(ctx context.Context, log port.Log, oldest, next int64) (*settings.State, *settings.CheckpointClose, error) {
	for next > oldest {
		first := max(oldest, next-readRecords)
		ends, err := checkpointsBetween(ctx, log, first, next)
		if err != nil {
			return nil, nil, err
		}
		for i := len(ends) - 1; i >= 0; i-- {
			if ends[i].Base+1 < oldest {
				continue
			}
			state, err := restore(ctx, log, ends[i])
			if err == nil {
				return state, ends[i], nil
			}
			if ctx.Err() != nil {
				return nil, nil, err
			}
		}
		next = first
	}
	return nil, nil, errNoCheckpoint
}

// checkpointsBetween returns the closing records between two offsets.
func checkpointsBetween(ctx context.Context, log port.Log, first, next int64) ([]*settings.CheckpointClose, error) {
	var ends []*settings.CheckpointClose
	err := scan(ctx, log, port.SettingsStream, first, next, func(r port.Record) error {
		record, err := settings.DecodeRecord(r.Data)
		if err == nil && record.CheckpointClose != nil && record.CheckpointClose.Base < r.Offset {
			ends = append(ends, record.CheckpointClose)
		}
		return nil
	})
	return ends, err
}

// restore reads the chunks of a checkpoint and checks them.
func restore(ctx context.Context, log port.Log, end *settings.CheckpointClose) (*settings.State, error) {
	var chunks []settings.CheckpointChunk
	err := scan(ctx, log, port.CheckpointStream, end.First, end.End, func(r port.Record) error {
		record, err := settings.DecodeRecord(r.Data)
		if err == nil && record.CheckpointChunk != nil && record.CheckpointChunk.Checkpoint == end.Checkpoint {
			chunks = append(chunks, *record.CheckpointChunk)
		}
		return nil
	})
	if err != nil {
		return nil, errors.Wrapf(err, "restore checkpoint %s", end.Checkpoint)
	}
	return settings.Restore(end, chunks)
}
