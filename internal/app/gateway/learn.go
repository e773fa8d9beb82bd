package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/pause"
)

const (
	learnInterval = 100 * time.Millisecond // between questions for the list of the gateways
	learnTimeout  = 400 * time.Millisecond
)

// learnMembers asks peers that know all gateways for their list, until this gateway knows
// them as well. The store also has the list, but may be away.
func (p *peers) learnMembers(ctx context.Context) error {
	for !p.membersKnown() && pause.For(ctx, learnInterval) {
		address, found := p.listingPeer(time.Now())
		if !found {
			continue
		}
		if err := p.learnFrom(ctx, address); err != nil {
			p.gateway.log.Decision("gateways not learned", eventlog.Fields{"peer": address, "error": err.Error()})
		}
	}
	return nil
}

func (p *peers) learnFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	state := p.gateway.state
	_, err := p.fetch(ctx, address, state.SettingsAt(), state.TargetsAt())
	return err
}

// listingPeer returns the control address of a gateway that is alive and knows all
// gateways, one of them at random.
func (p *peers) listingPeer(now time.Time) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for _, node := range p.nodes {
		if node.lists && now.Sub(node.heard) <= aliveAge {
			addresses = append(addresses, node.record.Control)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}
