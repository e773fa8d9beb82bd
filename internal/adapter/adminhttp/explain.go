package adminhttp

import (
	"fmt"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/schema"
)

// explain answers with the targets that a request could go to, and why. The query names
// a team and either a workload, or a service with a method and path.
func (h *handler) explain(r request) (any, error) {
	query := r.URL.Query()
	team := query.Get("team")
	if !r.operator.mayRead("/teams/" + team) {
		return nil, newProblem(CodeOutsideSubtree, outsideDetail(r.operator, "/teams/"+team))
	}
	if name := query.Get("service"); name != "" {
		return h.explainService(r, team, name, query.Get("method"), query.Get("path"))
	}
	return h.explainWorkload(r, team, query.Get("workload"))
}

func (h *handler) explainWorkload(r request, team, name string) (any, error) {
	workload := r.catalog.Workloads[catalog.TeamName{Team: team, Name: name}]
	if workload == nil {
		return nil, newProblem(CodeNotFound, fmt.Sprintf("there is no /teams/%s/workloads/%s", team, name))
	}
	answer := Explanation{
		Team: team, Name: name, Kind: "workload",
		Model: workload.Model, Version: workload.Version, Adapter: workload.Adapter,
		Class: string(workload.Class), TimeoutMS: workload.TimeoutMS, Idempotent: true,
	}
	model := catalog.TeamName{Team: team, Name: workload.Model}
	routeQuery := RouteQuery{Kind: schema.ModelTarget, Name: model, Class: workload.Class}
	h.addCandidates(&answer, r.catalog.ModelTargets[model], routeQuery)
	return answer, nil
}

func (h *handler) explainService(r request, team, name, method, path string) (any, error) {
	service := r.catalog.Services[catalog.TeamName{Team: team, Name: name}]
	if service == nil {
		return nil, newProblem(CodeNotFound, fmt.Sprintf("there is no /teams/%s/services/%s", team, name))
	}
	answer := Explanation{Team: team, Name: name, Kind: "service", TimeoutMS: service.TimeoutMS, Candidates: []Candidate{}}
	route := routing.MatchRoute(service.Routes, method, path)
	if route == nil {
		answer.Refused = fmt.Sprintf("no route of the service matches %s %s", method, path)
		return answer, nil
	}
	answer.Class = string(route.Class)
	answer.Idempotent = route.Idempotent
	key := catalog.TeamName{Team: team, Name: name}
	routeQuery := RouteQuery{Kind: schema.ServiceTarget, Name: key, Class: route.Class}
	h.addCandidates(&answer, r.catalog.ServiceTargets[key], routeQuery)
	return answer, nil
}

// addCandidates adds the targets with their eligibility, and the reason for a
// refusal if none is eligible.
func (h *handler) addCandidates(answer *Explanation, targets []*catalog.Target, routeQuery RouteQuery) {
	loads, views := h.loads(), h.views(routeQuery)
	answer.Candidates = []Candidate{}
	var eligible int
	for _, target := range targets {
		candidate := Candidate{Target: target.Name, FailureDomain: target.FailureDomain}
		if load, ok := loads[target.Name]; ok {
			candidate.Load = &load
		}
		candidate.Eligible, candidate.Reason = eligibility(target, candidate.Load)
		if view, ok := views[target.Name]; ok {
			candidate.addView(view)
		}
		if candidate.Eligible {
			eligible++
		}
		answer.Candidates = append(answer.Candidates, candidate)
	}
	switch {
	case len(targets) == 0:
		answer.Refused = "no target serves it"
	case eligible == 0:
		answer.Refused = "no target that serves it may get new work"
	}
}

// views returns how the entry rates each target for a request, by name.
func (h *handler) views(routeQuery RouteQuery) map[string]routing.Explanation {
	if h.cfg.Explain == nil {
		return nil
	}
	views := make(map[string]routing.Explanation)
	for _, view := range h.cfg.Explain(routeQuery) {
		views[view.Target] = view
	}
	return views
}

// addView adds how the entry rates the target. If the entry would not pick the
// target, an eligible candidate becomes ineligible, with the entry's reason.
func (c *Candidate) addView(view routing.Explanation) {
	c.Tier = string(view.Tier)
	c.Utilization = view.Utilization
	if c.Eligible && view.IneligibleReason != "" {
		c.Eligible, c.Reason = false, view.IneligibleReason
	}
}

// eligibility returns whether a target may get new work, and why.
func eligibility(target *catalog.Target, load *Load) (bool, string) {
	switch {
	case !target.Serving():
		return false, drainReason(target)
	case load == nil:
		return true, "in; nothing heard of it yet"
	case load.Leaving:
		return false, "leaving"
	case !load.Reachable:
		return false, "not reachable"
	case load.Limit > 0 && load.Running >= load.Limit:
		return true, "in, but at its limit"
	case load.Cold:
		return true, "in and cold: up to its cold limit"
	}
	return true, "in"
}
