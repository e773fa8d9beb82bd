package schema

import (
	"net/netip"
	"slices"
)

// Upper bounds of the fields of targets and groups.
const (
	maxConcurrent = 10_000 // requests that run or wait at a target
	maxRanks      = 1024   // of a group
	maxLayers     = 1024   // of a group
	maxExperts    = 65_536 // in each layer
	maxSlots      = 65_536 // of a rank in each layer
)

func (c *checker) domain(d *Domain) {
	c.state(d.State)
	if d.Region != "" && !ValidName(d.Region) {
		c.Add("region", d.Region, "a name of a-z, 0-9, '.', '_' and '-'")
	}
}

func (c *checker) target(t *Target) {
	c.agent(t.Agent)
	c.state(t.State)
	c.optionalRange("cold_limit", int64(t.ColdLimit), 1, maxConcurrent, "concurrent requests")
	c.optionalRange("max_limit", int64(t.MaxLimit), 1, maxConcurrent, "concurrent requests")
	c.Range("queue", int64(t.Queue), 0, maxConcurrent, "requests")
	if t.MaxLimit > 0 && t.ColdLimit > t.MaxLimit {
		c.Addf("cold_limit", t.ColdLimit, "at most max_limit, which is %d", t.MaxLimit)
	}
	if t.MaxLimit > 0 && t.ColdLimit == 0 && t.MaxLimit < DefaultColdLimit {
		c.Addf("cold_limit", t.ColdLimit, "at most max_limit, which is %d; the default is %d", t.MaxLimit, DefaultColdLimit)
	}
	c.failureDomain(t.FailureDomain)
	c.serves(t)
}

// agent checks the address of a target's agent: an IP address and port that no
// other target has.
func (c *checker) agent(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		c.Add("agent", address, "IP:PORT, such as 10.0.0.7:7400")
		return
	}
	if c.view == nil {
		return
	}
	if owner, taken := c.view.AgentOwner(address); taken && owner != c.pathText {
		c.Addf("agent", address, "an agent of its own; %s has this one", owner)
	}
}

func (c *checker) failureDomain(name string) {
	switch {
	case name == "":
		c.Add("failure_domain", name, "the name of a failure domain")
	case c.view != nil && !c.view.Domain(name):
		c.Addf("failure_domain", name, "a failure domain that exists; there is no /domains/%s", name)
	}
}

// uniqueName records a problem if the name is taken by a target or group at a
// path other than the checker's.
func (c *checker) uniqueName(holder string, taken bool) {
	if taken && holder != c.pathText {
		c.Addf("", nil, "a name of its own; %s has this one", holder)
	}
}

func (c *checker) serves(t *Target) {
	kind := t.Kind
	switch kind {
	case ModelTarget, ServiceTarget:
	case "":
		kind = ModelTarget
	default:
		c.Addf("kind", t.Kind, "%q or %q", ModelTarget, ServiceTarget)
		return
	}
	c.names("serves", t.Serves)
	switch {
	case len(t.Serves) == 0:
		c.Add("serves", t.Serves, "the name of at least one model or of one service")
	case kind == ServiceTarget && len(t.Serves) > 1:
		c.Add("serves", t.Serves, "the name of one service")
	}
	if c.view == nil {
		return
	}
	_, holder, taken := c.view.Target(c.path.Name)
	c.uniqueName(holder, taken)
	team, ok := c.targetTeam(t.Team)
	if !ok {
		return
	}
	for _, name := range t.Serves {
		if !c.view.Declared(kind, team, name) {
			c.Addf("serves", name, "a %s that %s declares", kind, teamOrAny(team))
		}
	}
}

// targetTeam returns the team that a target belongs to, "" for all teams. If the
// path is below a team, it is that team, otherwise the team in the field team,
// given as name. It returns false if there is no such team.
func (c *checker) targetTeam(name string) (string, bool) {
	if c.path.Team != "" {
		if name != "" && name != c.path.Team {
			c.Addf("team", name, "%q or nothing, since the path is in that team's subtree", c.path.Team)
		}
		_, ok := c.pathTeam()
		return c.path.Team, ok
	}
	if _, ok := c.view.Team(name); name != "" && !ok {
		c.Addf("team", name, "a team that exists; there is no /teams/%s", name)
		return name, false
	}
	return name, true
}

func teamOrAny(team string) string {
	if team == "" {
		return "some team"
	}
	return "team " + team
}

func (c *checker) group(g *Group) {
	c.names("ranks", g.Ranks)
	c.Range("ranks", int64(len(g.Ranks)), 1, maxRanks, "targets")
	c.Range("layers", int64(g.Layers), 1, maxLayers, "layers")
	c.Range("experts", int64(g.Experts), 1, maxExperts, "experts in each layer")
	c.Range("slots_per_rank", int64(g.SlotsPerRank), 1, maxSlots, "expert slots of a rank in each layer")
	if slots := len(g.Ranks) * g.SlotsPerRank; slots > 0 && slots < g.Experts {
		c.Addf("slots_per_rank", g.SlotsPerRank, "a slot for each of %d experts; %d ranks with %d slots have %d",
			g.Experts, len(g.Ranks), g.SlotsPerRank, slots)
	}
	if c.view == nil {
		return
	}
	if c.path.Team != "" {
		c.pathTeam()
	}
	_, holder, taken := c.view.Group(c.path.Name)
	c.uniqueName(holder, taken)
	c.ranks(g.Ranks)
}

// ranks checks that the ranks of a group are existing targets of kind model and,
// if the path is below a team, of that team. It warns if they serve different
// models.
func (c *checker) ranks(ranks []string) {
	var first []string
	for i, name := range ranks {
		target, _, ok := c.view.Target(name)
		switch {
		case !ok:
			c.Add("ranks", name, "a target that exists")
			continue
		case c.path.Team != "" && target.Team != c.path.Team:
			c.Addf("ranks", name, "a target of team %s", c.path.Team)
		case target.Kind == ServiceTarget:
			c.Add("ranks", name, "a target of kind model")
		}
		if i == 0 {
			first = target.Serves
		}
		if i > 0 && first != nil && !slices.Equal(first, target.Serves) {
			c.Warnf("ranks", name, "ranks that serve the same models; %s serves %v", ranks[0], first)
		}
	}
}
