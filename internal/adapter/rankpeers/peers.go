package rankpeers

import (
	"context"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/wire"
)

// Peers sends messages to the agents of a group. It implements mapgroup.Peers.
type Peers struct {
	pool      *link.Pool
	addresses []string // indexed by rank
}

// New returns the peers at the given addresses, indexed by rank.
func New(pool *link.Pool, addresses []string) *Peers {
	return &Peers{pool: pool, addresses: addresses}
}

// Ask implements mapgroup.Peers. It opens a stream for the message and returns the
// answer.
func (p *Peers) Ask(ctx context.Context, rank int, m *wire.MapMessage) (*wire.MapMessage, error) {
	if rank < 0 || rank >= len(p.addresses) {
		return nil, errors.Errorf("ask rank %d: the group has %d ranks", rank, len(p.addresses))
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
		return nil, errors.Wrapf(err, "receive answer of rank %d at %s", rank, address)
	}
	return answer, nil
}
