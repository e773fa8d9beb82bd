package gateway

import (
	"context"
	"fmt"
	"net"
	"sync"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/mapchange"
	"quetzalbend/internal/maplead"
	"quetzalbend/internal/ranklink"
	"quetzalbend/platform"
)

func (g *Gateway) newLeader() *maplead.Leader {
	return &maplead.Leader{
		Election: g.store,
		Topic:    platform.TopicNodes,
		Member:   fmt.Sprintf("%s.%d", g.node.Name, g.peers.started.UnixNano()),
		Ranks:    newRankAccess(g.node.Ports[0], g.state.RecordLeaving),
		Log:      g.log,
		Targets:  g.rankTargets,
	}
}

// rankTargets returns the targets of each service whose engine has expert maps.
func (g *Gateway) rankTargets() map[*fleet.Service][]fleet.Target {
	view := g.state.View()
	if view == nil {
		return nil
	}
	ranks := make(map[*fleet.Service][]fleet.Target)
	for _, target := range view.All {
		service := view.Settings.Services[target.Service]
		if service != nil && service.Engine != nil && service.Engine.Sets > 0 {
			ranks[service] = append(ranks[service], target)
		}
	}
	return ranks
}

// rankAccess reads ranks and sends them orders. Ranks are read only through their
// agents: to other VMs, an engine reports a state that is some hundred milliseconds
// old and may not include orders accepted since then.
type rankAccess struct {
	agents  *ranklink.Client
	leaving func(id string, born int64) // told of targets whose answers say that they leave

	mu      sync.Mutex
	engines map[string]*platform.Engine // by address
}

func newRankAccess(port int, leaving func(id string, born int64)) *rankAccess {
	return &rankAccess{agents: ranklink.NewClient(port), leaving: leaving, engines: make(map[string]*platform.Engine)}
}

// State reads the state of a rank through its agent.
func (a *rankAccess) State(ctx context.Context, target fleet.Target, options ranklink.StateOptions) (mapchange.Rank, [][]int32, error) {
	host, _, err := net.SplitHostPort(target.Address)
	if err != nil {
		return mapchange.Rank{}, nil, err
	}
	return a.agents.State(ctx, host, options)
}

// SendOrder sends an order to a rank. Hold orders and their releases go to the rank
// directly: if an agent's VM stopped between the hold and its release, the whole group
// would stay on hold until another leader released it.
func (a *rankAccess) SendOrder(ctx context.Context, target fleet.Target, order platform.RankOrder) (platform.OrderAnswer, error) {
	host, _, err := net.SplitHostPort(target.Address)
	if err != nil {
		return platform.OrderRefused, err
	}
	if order.Operation == mapchange.Hold || order.Operation == mapchange.Release {
		engine := a.engine(target.Address)
		answer, err := engine.SendOrder(ctx, order)
		if engine.TakeLeaving() {
			a.leaving(target.ID, target.Born)
		}
		return answer, err
	}
	return a.agents.SendOrder(ctx, host, order)
}

// engine returns the client of the engine at an address.
func (a *rankAccess) engine(address string) *platform.Engine {
	a.mu.Lock()
	defer a.mu.Unlock()
	engine := a.engines[address]
	if engine == nil {
		engine = platform.NewEngine(address)
		a.engines[address] = engine
	}
	return engine
}
