package settingssync

import (
	"context"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/wire"
)

// Dialer opens a stream to another process; *link.Pool is one.
type Dialer interface {
	Open(ctx context.Context, addr string, open *wire.Open) (*link.Stream, error)
}
