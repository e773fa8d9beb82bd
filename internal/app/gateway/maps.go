package gateway

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

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
		Ranks:    newRankAccess(g.node.Ports[0]),
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

const (
	agentTimeout = 100 * time.Millisecond // of a read by way of an agent
	agentPause   = time.Second            // for which an agent that did not answer is passed by
)

// rankAccess reaches ranks by way of their agents, which costs least, and
// directly while an agent does not answer.
type rankAccess struct {
	agents *ranklink.Client

	mu      sync.Mutex
	engines map[string]*platform.Engine // by address
	silent  map[string]time.Time        // until when an agent is passed by, by address
}

func newRankAccess(port int) *rankAccess {
	return &rankAccess{
		agents:  ranklink.NewClient(port),
		engines: make(map[string]*platform.Engine),
		silent:  make(map[string]time.Time),
	}
}

// State reads a rank. Read directly, it comes without counts, since these would
// make the whole group pause.
func (a *rankAccess) State(ctx context.Context, target fleet.Target, ask ranklink.Ask) (mapchange.Rank, [][]int32, error) {
	host, _, err := net.SplitHostPort(target.Address)
	if err != nil {
		return mapchange.Rank{}, nil, err
	}
	if !a.isSilent(target.Address) {
		agentCtx, cancel := context.WithTimeout(ctx, agentTimeout)
		defer cancel()
		rank, placed, err := a.agents.State(agentCtx, host, ask)
		if err == nil {
			return rank, placed, nil
		}
		a.setSilent(target.Address)
	}
	engine := a.engine(target.Address)
	rank, err := engine.Report(ctx)
	if err != nil || !ask.Placed {
		return rank, nil, err
	}
	placed, err := engine.Placed(ctx)
	if err != nil || placed.Version != rank.Version {
		return rank, nil, err
	}
	return rank, placed.Experts, nil
}

// Give gives a rank an order. Holds and their releases go to the rank directly:
// an agent that stops with its VM between the two would leave the whole group
// waiting, and only another leader than this one could end that.
func (a *rankAccess) Give(ctx context.Context, target fleet.Target, order platform.RankOrder) (platform.OrderAnswer, error) {
	host, _, err := net.SplitHostPort(target.Address)
	if err != nil {
		return platform.OrderRefused, err
	}
	direct := order.Operation == mapchange.Hold || order.Operation == mapchange.Go
	if direct || a.isSilent(target.Address) {
		return a.engine(target.Address).Give(ctx, order)
	}
	answer, err := a.agents.Give(ctx, host, order)
	if err != nil && answer == platform.OrderUnknown {
		a.setSilent(target.Address)
	}
	return answer, err
}

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

func (a *rankAccess) isSilent(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.silent[address])
}

func (a *rankAccess) setSilent(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent[address] = time.Now().Add(agentPause)
}
