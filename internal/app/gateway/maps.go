package gateway

import (
	"context"
	"fmt"
	"net"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/mapchange"
	"quetzalbend/internal/maplead"
	"quetzalbend/internal/ranklink"
	"quetzalbend/platform"
)

func (g *Gateway) leader() *maplead.Leader {
	return &maplead.Leader{
		Election: g.store,
		Topic:    platform.TopicNodes,
		Member:   fmt.Sprintf("%s.%d", g.node.Name, g.peers.started.UnixNano()),
		Ranks:    &rankAccess{agents: ranklink.NewClient(g.node.Ports[0])},
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

// rankAccess reaches ranks by way of their agents, and directly where an agent
// does not answer.
type rankAccess struct{ agents *ranklink.Client }

func (a *rankAccess) State(ctx context.Context, target fleet.Target, ask ranklink.Ask) (mapchange.Rank, [][]int32, error) {
	host, _, err := net.SplitHostPort(target.Address)
	if err != nil {
		return mapchange.Rank{}, nil, err
	}
	return a.agents.State(ctx, host, ask)
}

func (a *rankAccess) Give(ctx context.Context, target fleet.Target, order platform.RankOrder) (platform.OrderAnswer, error) {
	host, _, err := net.SplitHostPort(target.Address)
	if err != nil {
		return platform.OrderRefused, err
	}
	return a.agents.Give(ctx, host, order)
}
