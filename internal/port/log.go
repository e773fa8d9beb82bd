package port

import (
	"context"
	"errors"
	"time"
)

// ErrNotAppended reports that an append has certainly not taken effect and
// never will. After any other error of Append the outcome is unknown.
var ErrNotAppended = errors.New("not appended")

// ErrExpired reports that the requested offset is lower than that of the oldest
// record that the log still keeps.
var ErrExpired = errors.New("records expired")

// Record is one record of a stream.
type Record struct {
	Offset int64
	Data   []byte
}

// Page is a run of consecutive records of a stream.
type Page struct {
	Records []Record
	Oldest  int64 // offset of the oldest record still kept
	Next    int64 // offset that the next append will get
	// Era rises each time the log comes back from an older copy of itself: what it
	// acknowledged after that copy is gone, and its offsets are assigned again.
	Era int64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds records to the end of a stream in one call, at consecutive
	// offsets, and returns the first offset. See ErrNotAppended.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)

	// Read returns at most limit records, starting at offset from. If there is no
	// such record yet, it waits for one for at most wait. See ErrExpired.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error)
}

// Streams of the platform's log that quetzalbend uses.
const (
	SettingsStream = "settings"
	// CheckpointStream holds the chunks of checkpoints of the settings.
	CheckpointStream = "settings.checkpoint"
	// ClaimsStreamPrefix is followed by the team's name, a dot and the service's
	// name.
	ClaimsStreamPrefix = "claims."
)
