package entry

import (
	"context"
	"time"

	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/port"
)

const (
	followLimit = 1000
	followWait  = time.Second
	followPause = 200 * time.Millisecond
)

// follow folds the settings stream from its start.
func follow(ctx context.Context, log port.Log, publish func(*settings.Snapshot)) error {
	state := settings.NewState()
	for ctx.Err() == nil {
		page, err := log.Read(ctx, port.SettingsStream, state.Offset()+1, followLimit, followWait)
		if err != nil {
			pause(ctx, followPause)
			continue
		}
		for _, record := range page.Records {
			decoded, err := settings.DecodeRecord(record.Data)
			if err != nil {
				decoded = settings.Record{}
			}
			if _, err := state.Apply(record.Offset, decoded); err != nil {
				return err
			}
		}
		publish(state.Snapshot())
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
