package topology

import (
	"fmt"

	"quetzalbend/internal/app/agent"
)

// Names of the group and of its model in the settings.
const (
	Group      = "experts" // the whole group, not the experts of its model
	GroupModel = "mixture"
)

// Intervals of the agents of a group's ranks, short so that a small system shows
// changes of its expert map within seconds.
const (
	rankReportMS    = 50
	rankPlanMS      = 200
	rankAskMS       = 300
	rankLeadSteps   = 200
	rankOrderLifeMS = 1000
)

// group adds one stand-in for all ranks of a group and an agent for each rank,
// all in the first failure domain.
func (b *builder) group() {
	config := b.options.Group
	if config.Ranks == 0 {
		return
	}
	config.Listen = b.listenAddress(0)
	base := "http://" + config.Listen
	b.add(Process{
		Name: "ranks", FailureDomain: DomainName(0), Program: StandinProgram, Subcommand: "ranks",
		Config: config, Base: base,
	})
	b.set("/teams/"+Team+"/models/"+GroupModel, map[string]any{"versions": []string{"v1"}})
	var targets []string
	for i := range config.Ranks {
		name := fmt.Sprintf("rank-%d", i)
		targets = append(targets, name)
		b.rank(name, base, config.ChecksFencing)
	}
	b.set("/groups/"+Group, map[string]any{
		"ranks":          targets,
		"layers":         max(config.Layers, 1),
		"experts":        config.Experts,
		"slots_per_rank": config.Slots / config.Ranks,
	})
}

// rank adds the agent and the target of one rank.
func (b *builder) rank(name, base string, checksFencing bool) {
	config := b.agentConfig(0, name)
	config.Engine = base
	config.OrderLifeMS = rankOrderLifeMS
	config.Rank = &agent.Rank{
		Engine:           base,
		ReportIntervalMS: rankReportMS,
		PlanIntervalMS:   rankPlanMS,
		AskTimeoutMS:     rankAskMS,
		LeadSteps:        rankLeadSteps,
	}
	b.agent(0, name, config, map[string]any{
		"kind":           "model",
		"serves":         []string{GroupModel},
		"checks_fencing": checksFencing,
	})
}
