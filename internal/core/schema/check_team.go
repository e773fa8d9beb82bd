package schema

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Bounds of the fields below teams.
const (
	maxShare          = 1000
	maxRate           = 1e9        // requests or tokens a second
	maxTeamConcurrent = 10_000_000 // concurrent requests of a team or account
	minTimeoutMS      = 100
	maxTimeoutMS      = 600_000
	minKeyWindowMS    = 60_000
	maxKeyWindowMS    = 86_400_000
	maxRoutes         = 256
	maxModelNames     = 1024 // versions or adapters of a model
)

// httpMethods are the methods that a route may name.
var httpMethods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

func (c *checker) operator(o *Operator) {
	c.tokenHash(o.TokenSHA256)
	if o.Subtree == "/" {
		return
	}
	path, err := ParsePath(o.Subtree)
	if err != nil || path.Kind != KindTeam {
		c.Add("subtree", o.Subtree, `"/" for all settings or "/teams/TEAM" for those of one team`)
		return
	}
	if c.view == nil {
		return
	}
	if _, ok := c.view.Team(path.Name); !ok {
		c.Addf("subtree", o.Subtree, "the subtree of a team that exists; there is no %s", o.Subtree)
	}
}

func (c *checker) team(t *Team) {
	if t.Share < 0 || t.Share > maxShare || math.IsNaN(t.Share) {
		c.Addf("share", t.Share, "a weight over 0 and up to %d", maxShare)
	}
	c.limits(t.Limits)
	if t.Credits == nil {
		return
	}
	c.credits(t.Credits)
}

func (c *checker) credits(credits *Credits) {
	if credits.Tokens < 0 {
		c.Add("credits.tokens", credits.Tokens, "0 or more generated tokens")
	}
	asOf, err := time.Parse(time.RFC3339, credits.AsOf)
	if err != nil {
		c.Add("credits.as_of", credits.AsOf, "a time such as 2027-03-01T00:00:00Z")
	}
	expires, expiresErr := time.Parse(time.RFC3339, credits.Expires)
	if expiresErr != nil {
		c.Add("credits.expires", credits.Expires, "a time such as 2027-03-31T00:00:00Z")
	}
	if err == nil && expiresErr == nil && !expires.After(asOf) {
		c.Addf("credits.expires", credits.Expires, "a time after as_of, which is %s", credits.AsOf)
	}
}

func (c *checker) limits(l Limits) {
	c.rate("limits.requests_per_second", l.RequestsPerSecond, "requests a second")
	c.rate("limits.tokens_per_second", l.TokensPerSecond, "generated tokens a second")
	c.Range("limits.concurrent", int64(l.Concurrent), 0, maxTeamConcurrent, "concurrent requests; 0 for no limit")
}

func (c *checker) rate(field string, value float64, unit string) {
	if value < 0 || value > maxRate || math.IsNaN(value) {
		c.Addf(field, value, "0 to %g %s; 0 for no limit", maxRate, unit)
	}
}

func (c *checker) account(a *Account) {
	c.tokenHash(a.TokenSHA256)
	c.limits(a.Limits)
	c.class("class", a.Class)
	team, ok := c.pathTeam()
	if !ok {
		return
	}
	c.warnAboveTeamLimit("requests_per_second", a.Limits.RequestsPerSecond, team.Limits.RequestsPerSecond)
	c.warnAboveTeamLimit("tokens_per_second", a.Limits.TokensPerSecond, team.Limits.TokensPerSecond)
	c.warnAboveTeamLimit("concurrent", float64(a.Limits.Concurrent), float64(team.Limits.Concurrent))
}

// warnAboveTeamLimit warns if a limit of an account is above that of its team,
// so that it has no effect.
func (c *checker) warnAboveTeamLimit(field string, account, team float64) {
	if team > 0 && account > team {
		c.Warnf("limits."+field, account, "at most %g, the limit of team %s", team, c.path.Team)
	}
}

// pathTeam returns the team that the path is below, and records a problem if
// there is no such team. It returns false then, and with a nil view.
func (c *checker) pathTeam() (Team, bool) {
	if c.view == nil {
		return Team{}, false
	}
	team, ok := c.view.Team(c.path.Team)
	if !ok {
		c.Addf("", nil, "a path below a team that exists; there is no /teams/%s", c.path.Team)
	}
	return team, ok
}

func (c *checker) model(m *Model) {
	c.names("versions", m.Versions)
	c.names("adapters", m.Adapters)
	c.Range("versions", int64(len(m.Versions)), 1, maxModelNames, "versions")
	c.Range("adapters", int64(len(m.Adapters)), 0, maxModelNames, "adapters")
	c.pathTeam()
}

func (c *checker) workload(w *Workload) {
	c.class("class", w.Class)
	c.optionalRange("timeout_ms", w.TimeoutMS, minTimeoutMS, maxTimeoutMS, "milliseconds")
	if w.Model == "" {
		c.Add("model", w.Model, "the name of a model of the team")
	}
	if _, ok := c.pathTeam(); !ok || w.Model == "" {
		return
	}
	c.workloadModel(w)
	if w.Group == "" {
		return
	}
	if _, _, ok := c.view.Group(w.Group); !ok {
		c.Add("group", w.Group, "a group that exists")
	}
}

func (c *checker) workloadModel(w *Workload) {
	model, ok := c.view.Model(c.path.Team, w.Model)
	if !ok {
		c.Addf("model", w.Model, "a model that exists; there is no /teams/%s/models/%s", c.path.Team, w.Model)
		return
	}
	if w.Version != "" && !slices.Contains(model.Versions, w.Version) {
		c.Addf("version", w.Version, "a version of model %s: %s", w.Model, strings.Join(model.Versions, ", "))
	}
	if w.Adapter != "" && !slices.Contains(model.Adapters, w.Adapter) {
		c.Addf("adapter", w.Adapter, "an adapter of model %s: %s", w.Model, orNone(model.Adapters))
	}
	if !c.view.Served(ModelTarget, c.path.Team, w.Model) {
		c.Warnf("model", w.Model, "a model that some target serves; until then requests are refused")
	}
}

func orNone(names []string) string {
	if len(names) == 0 {
		return "it has none"
	}
	return strings.Join(names, ", ")
}

func (c *checker) service(s *Service) {
	c.optionalRange("timeout_ms", s.TimeoutMS, minTimeoutMS, maxTimeoutMS, "milliseconds")
	c.optionalRange("key_window_ms", s.KeyWindowMS, minKeyWindowMS, maxKeyWindowMS, "milliseconds")
	if s.KeyWindowMS > 0 && s.KeyWindowMS < s.TimeoutMS {
		c.Addf("key_window_ms", s.KeyWindowMS, "at least timeout_ms, which is %d", s.TimeoutMS)
	}
	c.Range("routes", int64(len(s.Routes)), 1, maxRoutes, "routes")
	for i, route := range s.Routes {
		c.route(i, route, s.Routes[:i])
	}
	if _, ok := c.pathTeam(); ok && !c.view.Served(ServiceTarget, c.path.Team, c.path.Name) {
		c.Warnf("", nil, "some target that serves it; until then calls are refused")
	}
}

func (c *checker) route(i int, route Route, earlier []Route) {
	field := func(name string) string { return routeField(i, name) }
	if !slices.Contains(httpMethods, route.Method) {
		c.Addf(field("method"), route.Method, "one of %s", strings.Join(httpMethods, ", "))
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || strings.ContainsAny(route.PathPrefix, "?#% \t\r\n") {
		c.Add(field("path_prefix"), route.PathPrefix, "a path such as /entries/, without query or escapes")
	}
	c.class(field("class"), route.Class)
	for j, other := range earlier {
		if other.Matches(route.Method, route.PathPrefix) {
			c.Addf(field("path_prefix"), route.PathPrefix, "a route that can be reached; %s matches first", routeField(j, "path_prefix"))
			break
		}
	}
	if route.Method == "GET" && !route.Idempotent {
		c.Warnf(field("idempotent"), route.Idempotent, "true for GET; as it stands each call needs an Idempotency-Key")
	}
}

func routeField(i int, name string) string { return fmt.Sprintf("routes[%d].%s", i, name) }
