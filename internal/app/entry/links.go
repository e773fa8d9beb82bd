package entry

import (
	"context"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/dispatch"
	"quetzalbend/internal/wire"
)

// links adapts a link.Pool to dispatch.Links.
type links struct {
	pool *link.Pool
}

// Open implements dispatch.Links.
func (l links) Open(ctx context.Context, addr string, open *wire.Open) (dispatch.Stream, error) {
	stream, err := l.pool.Open(ctx, addr, open)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// NotSent implements dispatch.Links.
func (links) NotSent(err error) bool { return link.IsNotSent(err) }
