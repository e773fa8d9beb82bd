package mapgroup

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/balance"
	"quetzalbend/internal/core/expertmap"
	"quetzalbend/internal/wire"
)

// Peers sends messages to the agents of the other ranks.
type Peers interface {
	// Ask sends a message to a rank's agent and returns its answer.
	Ask(ctx context.Context, rank int, m *wire.MapMessage) (*wire.MapMessage, error)
}

// Report holds the load that the engines of a group report. It describes an
// earlier step.
type Report struct {
	Loads  [][]float64 `json:"loads"`  // by layer and expert
	Speeds []float64   `json:"speeds"` // relative speed by rank; 1 is normal
	Step   int64       `json:"step"`   // step that the report describes
}

// Reports returns the newest load report of a group.
type Reports interface {
	Report(ctx context.Context) (Report, error)
}

// Config describes the group and this rank.
type Config struct {
	Group       string
	Rank        int
	Ranks       int
	Incarnation string // of this agent, new with each start

	Layers  int
	Shape   balance.Shape // of each layer
	Balance balance.Config

	StepMS         float64       // step time of the balanced group in milliseconds
	StoreRate      float64       // bytes per second that the group may fetch from the weight store
	ReportInterval time.Duration // between load reports
	PlanInterval   time.Duration // between plans
	AskTimeout     time.Duration // for one answer
	LeadSteps      int64         // a change is activated this many steps after the newest known step

	// SettleTime is how long an order of this agent's predecessor may still be
	// in transit. The agent waits for this time at its start, unless engines
	// refuse old fencing tokens.
	SettleTime    time.Duration
	ChecksFencing bool
}

func (c *Config) validate() error {
	switch {
	case c.Ranks < 1 || c.Rank < 0 || c.Rank >= c.Ranks:
		return errors.Errorf("group %s: rank %d is not one of its %d ranks", c.Group, c.Rank, c.Ranks)
	case c.Shape.Ranks() != c.Ranks:
		return errors.Errorf("group %s: shape has %d ranks, want %d", c.Group, c.Shape.Ranks(), c.Ranks)
	case c.Incarnation == "":
		return errors.Errorf("group %s: incarnation is empty", c.Group)
	case c.ReportInterval <= 0 || c.PlanInterval <= 0 || c.AskTimeout <= 0:
		return errors.Errorf("group %s: intervals and timeouts must be positive", c.Group)
	}
	return nil
}

// Ports are the interfaces that a runner uses.
type Ports struct {
	Engine  expertmap.Engine
	Reports Reports
	Peers   Peers
}
