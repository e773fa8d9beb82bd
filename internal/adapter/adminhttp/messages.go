package adminhttp

import (
	"encoding/json"

	"quetzalbend/internal/core/check"
	"quetzalbend/internal/core/schema"
)

// Setting is a path of the settings with its value.
type Setting struct {
	Path    string          `json:"path"`
	Version int64           `json:"version"`
	Author  string          `json:"author,omitempty"`
	Value   json.RawMessage `json:"value"`
}

// List is a page of settings in path order.
type List struct {
	Offset   int64     `json:"offset"`
	Settings []Setting `json:"settings"`
	Next     string    `json:"next,omitempty"` // "after" parameter for the next page; empty on the last page
}

// WriteResult is the outcome of a write.
type WriteResult struct {
	Status    string          `json:"status"` // accepted, rejected, not_accepted or unknown
	Operation string          `json:"operation"`
	Offset    int64           `json:"offset"` // of the write in the log; -1 if unknown
	Reason    string          `json:"reason,omitempty"`
	Warnings  []check.Problem `json:"warnings,omitempty"`
}

// Change is one write of a path and the verdict on it.
type Change struct {
	Offset    int64           `json:"offset"`
	Verdict   string          `json:"verdict"`
	Operation string          `json:"operation"`
	Author    string          `json:"author,omitempty"`
	AsOf      int64           `json:"as_of"` // offset of the settings that the author had read
	Deleted   bool            `json:"deleted,omitempty"`
	Value     json.RawMessage `json:"value,omitempty"`
}

// History lists the writes of a path that the entry remembers, oldest first.
type History struct {
	Path    string   `json:"path"`
	Changes []Change `json:"changes"`
}

// Proposal is a change to validate.
type Proposal struct {
	Path   string          `json:"path"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// Proposals are changes to validate together.
type Proposals struct {
	Settings []Proposal `json:"settings"`
}

// Validation lists the problems of proposals.
type Validation struct {
	Valid    bool            `json:"valid"`
	Problems []check.Problem `json:"problems"`
}

// Team is a team with its subtree.
type Team struct {
	Name    string      `json:"name"`
	Subtree string      `json:"subtree"`
	Team    schema.Team `json:"team"`
}

// Teams lists teams in name order.
type Teams struct {
	Teams []Team `json:"teams"`
}

// Node is an entry with the agents that get their settings from it, or an agent.
type Node struct {
	Name         string   `json:"name"`
	Kind         string   `json:"kind"`   // entry or agent
	Offset       int64    `json:"offset"` // of the settings in force; -1 if unknown
	AgeMS        int64    `json:"age_ms"` // time since that was reported
	Silent       bool     `json:"silent"` // no report for a while, or never
	Agents       int      `json:"agents,omitempty"`
	AgentsOffset int64    `json:"agents_offset,omitempty"` // lowest offset in force at these agents
	AgentsBehind []string `json:"agents_behind,omitempty"` // some of the agents below Offset
}

// Kinds of node.
const (
	EntryNode = "entry"
	AgentNode = "agent"
)

// Nodes lists all entries.
type Nodes struct {
	Offset int64  `json:"offset"` // of the answering entry
	Nodes  []Node `json:"nodes"`
}

// InForce states whether all nodes have reached an offset.
type InForce struct {
	Offset  int64  `json:"offset"`
	InForce bool   `json:"in_force"`
	Nodes   int    `json:"nodes"`   // entries and agents
	Missing []Node `json:"missing"` // the entries that have not, and those agents that the entries name
}

// Load is the state of a target as an entry knows it.
type Load struct {
	Reachable       bool    `json:"reachable"`
	Cold            bool    `json:"cold"`
	Leaving         bool    `json:"leaving"`
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	Limit           int     `json:"limit"`
	FirstTokenMS    float64 `json:"first_token_ms"`
	BetweenTokensMS float64 `json:"between_tokens_ms"`
}

// Target is a target with its settings and state.
type Target struct {
	Name    string        `json:"name"`
	Path    string        `json:"path"`
	Serving bool          `json:"serving"` // whether the settings give it new work
	Reason  string        `json:"reason,omitempty"`
	Target  schema.Target `json:"target"`
	Load    *Load         `json:"load,omitempty"` // nil if unknown
}

// Targets lists the targets that the operator may read, in name order.
type Targets struct {
	Targets []Target `json:"targets"`
}

// EntryStatus is the state of the answering entry.
type EntryStatus struct {
	Node          string   `json:"node"`
	FailureDomain string   `json:"failure_domain"`
	Offset        int64    `json:"offset"`
	Settings      int      `json:"settings"`         // number of paths
	Platform      bool     `json:"platform_healthy"` // whether the platform's log answers
	Unreadable    []string `json:"unreadable"`       // paths of accepted settings that this version cannot read
}

// Explanation states which targets a request could go to, and why.
type Explanation struct {
	Team       string      `json:"team"`
	Name       string      `json:"name"` // of the workload or service
	Kind       string      `json:"kind"` // workload or service
	Model      string      `json:"model,omitempty"`
	Version    string      `json:"version,omitempty"`
	Adapter    string      `json:"adapter,omitempty"`
	Class      string      `json:"class"`
	Idempotent bool        `json:"idempotent"`
	TimeoutMS  int64       `json:"timeout_ms"`
	Refused    string      `json:"refused,omitempty"` // why no target is eligible
	Candidates []Candidate `json:"candidates"`
}

// Candidate is a target that a request might go to.
type Candidate struct {
	Target        string  `json:"target"`
	FailureDomain string  `json:"failure_domain"`
	Eligible      bool    `json:"eligible"`
	Reason        string  `json:"reason"`
	Tier          string  `json:"tier,omitempty"`        // near, far or rest; the entry considers targets in this order
	Utilization   float64 `json:"utilization,omitempty"` // expected by the entry; a target counts as full from 1 on
	Load          *Load   `json:"load,omitempty"`
}
