package rankpeers

import (
	"context"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/wire"
)

// Peers reaches other agents over the link.
type Peers struct {
	pool      *link.Pool
	addresses []string // by rank
}

// New returns peers at the given addresses, one for each rank.
func New(pool *link.Pool, addresses []string) *Peers {
	return &Peers{pool: pool, addresses: addresses}
}

// Ask implements mapgroup.Peers.
func (p *Peers) Ask(ctx context.Context, rank int, m *wire.MapMessage) (*wire.MapMessage, error) {
	if rank < 0 || rank >= len(p.addresses) {
		return nil, errors.Errorf("ask rank %d of %d", rank, len(p.addresses))
	}
	address := p.addresses[rank]
	stream, err := p.pool.Open(ctx, address, &wire.Open{Purpose: &wire.Open_ExpertMap{ExpertMap: m}})
	if err != nil {
		return nil, errors.Wrapf(err, "ask rank %d at %s", rank, address)
	}
	defer func() { _ = stream.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	answer := &wire.MapMessage{}
	if err := stream.Receive(answer); err != nil {
		return nil, errors.Wrapf(err, "answer of rank %d at %s", rank, address)
	}
	return answer, nil
}
