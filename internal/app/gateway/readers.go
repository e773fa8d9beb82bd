package gateway

import (
	"context"
	"maps"
	"time"

	"quetzalbend/internal/core/readers"
	"quetzalbend/internal/fleetsync"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
)

// readerState is the latest read progress that a gateway of this failure domain
// has announced. The gateway that reads the store for this one is chosen among those
// with a readerState.
type readerState struct {
	fleetsync.Reader

	incarnation int64
	sequence    int64
}

// recordReader records how far a gateway of this failure domain has read the
// store. It ignores datagrams that are older than the latest one.
func (p *peers) recordReader(datagram *wire.NodeLoad, now time.Time) {
	read := datagram.GetRead()
	if read == nil || datagram.Domain != p.gateway.node.Domain {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.readers[datagram.Node]
	if ok && (datagram.Incarnation < known.incarnation ||
		datagram.Incarnation == known.incarnation && datagram.Sequence <= known.sequence) {
		return
	}
	maps.DeleteFunc(p.readers, func(_ string, r readerState) bool { return now.Sub(r.TargetsAsOf) > nodeLifetime })
	p.readers[datagram.Node] = readerState{
		Reader: fleetsync.Reader{
			Address:        datagram.ControlAddress,
			SettingsAt:     platform.Position{Era: read.SettingsEra, Next: read.SettingsNext},
			TargetsAt:      platform.Position{Era: read.TargetsEra, Next: read.TargetsNext},
			TargetsChanged: read.TargetsChanged,
			SettingsAsOf:   fleetsync.TimeFromAge(read.SettingsAgeMs, now),
			TargetsAsOf:    fleetsync.TimeFromAge(read.TargetsAgeMs, now),
		},
		incarnation: datagram.Incarnation,
		sequence:    datagram.Sequence,
	}
}

// Reader returns the gateway that reads the store on behalf of this one, or
// reports false if this gateway must read the store itself.
func (p *peers) Reader() (fleetsync.Reader, bool) {
	era := p.gateway.newestEra()
	p.mu.Lock()
	defer p.mu.Unlock()
	others := make([]readers.Gateway, 0, len(p.readers))
	for name, r := range p.readers {
		others = append(others, readers.Gateway{
			Name: name, SettingsAsOf: r.SettingsAsOf, TargetsAsOf: r.TargetsAsOf, Era: min(r.SettingsAt.Era, r.TargetsAt.Era),
		})
	}
	chosen, found := readers.Choose(p.gateway.node.Name, era, others, time.Now())
	return p.readers[chosen.Name].Reader, found
}

// FetchFromReader fetches from the given gateway the state that is newer than the
// given places.
func (p *peers) FetchFromReader(ctx context.Context, r fleetsync.Reader, settings, targets platform.Position) (*wire.FleetState, error) {
	return p.fetch(ctx, r.Address, settings, targets)
}

// newestEra returns the newest era of the store that this gateway knows of, from the
// store itself or from another gateway.
func (g *Gateway) newestEra() int64 {
	return max(g.store.Era(), g.state.SettingsAt().Era, g.state.TargetsAt().Era)
}
