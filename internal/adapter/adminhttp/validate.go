package adminhttp

import (
	"fmt"
	"net/http"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/check"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
)

// validate checks proposals against the settings that would result from all of
// them, so their order does not matter.
func (h *handler) validate(w http.ResponseWriter, r request) error {
	data, err := readBody(w, r, maxValidateBytes)
	if err != nil {
		return err
	}
	bounds := check.Bounds{Bytes: maxValidateBytes, Depth: maxValidateDepth}
	proposals, problems := check.Decode[Proposals]("body", data, bounds)
	if len(proposals.Settings) > maxValidateSettings {
		return newProblem(CodeBadRequest, fmt.Sprintf("want at most %d settings", maxValidateSettings))
	}
	if len(problems) == 0 {
		problems = h.checkProposals(r, proposals.Settings)
	}
	answer := Validation{Valid: !check.Failed(problems), Problems: problems}
	if answer.Problems == nil {
		answer.Problems = []check.Problem{}
	}
	writeJSON(w, http.StatusOK, "application/json", answer)
	return nil
}

func (h *handler) checkProposals(r request, proposals []Proposal) []check.Problem {
	view := withProposals(r, proposals).View()
	var problems []check.Problem
	for _, proposal := range proposals {
		if !schema.MayWrite(r.operator.subtree, proposal.Path) {
			problems = append(problems, check.Problem{
				Path: proposal.Path, Want: "a path below " + r.operator.subtree + ", to which the operator is bound",
			})
			continue
		}
		if proposal.Delete {
			problems = append(problems, schema.CheckDelete(proposal.Path, view)...)
			continue
		}
		problems = append(problems, schema.Check(proposal.Path, proposal.Value, view)...)
	}
	return problems
}

// withProposals returns the catalog that would result from all proposals.
func withProposals(r request, proposals []Proposal) *catalog.Catalog {
	changed := make(map[string]Proposal, len(proposals))
	for _, proposal := range proposals {
		changed[proposal.Path] = proposal
	}
	offset := r.snapshot.Offset()
	entries := make([]settings.Entry, 0, r.snapshot.Len()+len(proposals))
	for entry := range r.snapshot.All() {
		if _, replaced := changed[entry.Path]; !replaced {
			entries = append(entries, entry)
		}
	}
	for path, proposal := range changed {
		if !proposal.Delete {
			entries = append(entries, settings.Entry{Path: path, Version: offset + 1, Value: proposal.Value})
		}
	}
	return catalog.Rebuild(r.catalog, settings.NewSnapshot(offset+1, entries))
}
