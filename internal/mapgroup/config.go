package mapgroup

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/balance"
	"quetzalbend/internal/core/expertmap"
	"quetzalbend/internal/wire"
)

// Peers reaches the agents of the other ranks.
type Peers interface {
	// Ask sends a message to a rank's agent and returns its answer.
	Ask(ctx context.Context, rank int, m *wire.MapMessage) (*wire.MapMessage, error)
}

// Report is what the engines of a group tell of their load, with a lag.
type Report struct {
	Loads  [][]float64 `json:"loads"`  // by layer and expert
	Speeds []float64   `json:"speeds"` // by rank, 1 for a usual one
	Step   int64       `json:"step"`   // step that the report tells of
}

// Reports gives the newest load report of a group.
type Reports interface {
	Report(ctx context.Context) (Report, error)
}

// Config tells of the group and of this rank.
type Config struct {
	Group       string
	Rank        int
	Ranks       int
	Incarnation string // of this agent, new with each start

	Layers  int
	Shape   balance.Shape // of each layer
	Balance balance.Config

	StepMS         float64       // step time of the balanced group in milliseconds
	StoreRate      float64       // bytes a second that the group may fetch
	ReportInterval time.Duration // between load reports
	PlanInterval   time.Duration // between plans
	AskTimeout     time.Duration // for one answer
	LeadSteps      int64         // steps from the newest known step to a change

	// SettleTime is how long an order of this agent's predecessor may still be
	// on its way. It is waited for at the start unless engines refuse old
	// fencing numbers.
	SettleTime    time.Duration
	ChecksFencing bool
}

func (c *Config) check() error {
	switch {
	case c.Ranks < 1 || c.Rank < 0 || c.Rank >= c.Ranks:
		return errors.Errorf("group %s: rank %d of %d", c.Group, c.Rank, c.Ranks)
	case c.Shape.Ranks() != c.Ranks:
		return errors.Errorf("group %s: shape of %d ranks, want %d", c.Group, c.Shape.Ranks(), c.Ranks)
	case c.Incarnation == "":
		return errors.Errorf("group %s: empty incarnation", c.Group)
	case c.ReportInterval <= 0 || c.PlanInterval <= 0 || c.AskTimeout <= 0:
		return errors.Errorf("group %s: intervals and timeouts must be positive", c.Group)
	}
	return nil
}

// Ports are what a runner needs from outside.
type Ports struct {
	Engine  expertmap.Engine
	Reports Reports
	Peers   Peers
}
