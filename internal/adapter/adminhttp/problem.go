package adminhttp

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/check"
)

// Codes of failures. They are part of the API.
const (
	CodeUnauthorized    = "unauthorized"
	CodeOutsideSubtree  = "outside_subtree"
	CodeNotFound        = "not_found"
	CodeBadRequest      = "bad_request"
	CodeBodyTooLarge    = "body_too_large"
	CodeInvalidSetting  = "invalid_setting"
	CodeConflict        = "conflict"
	CodeVersionMismatch = "version_mismatch"
	CodePlatformAway    = "platform_unavailable"
	CodeOutcomeUnknown  = "outcome_unknown"
	CodeNotReady        = "not_ready"
	CodeInternal        = "internal"
)

// Problem is the body of a failed request (RFC 9457).
type Problem struct {
	Type     string          `json:"type"`
	Title    string          `json:"title"`
	Status   int             `json:"status"`
	Code     string          `json:"code"`
	Detail   string          `json:"detail,omitempty"`
	Problems []check.Problem `json:"problems,omitempty"` // of invalid_setting
	Result   *WriteResult    `json:"result,omitempty"`   // of a write
}

// Error returns the code and detail, and one line for each of Problems.
func (p *Problem) Error() string {
	text := p.Code
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	for _, problem := range p.Problems {
		text += "\n" + problem.String()
	}
	return text
}

var statuses = map[string]int{
	CodeUnauthorized:    http.StatusUnauthorized,
	CodeOutsideSubtree:  http.StatusForbidden,
	CodeNotFound:        http.StatusNotFound,
	CodeBadRequest:      http.StatusBadRequest,
	CodeBodyTooLarge:    http.StatusRequestEntityTooLarge,
	CodeInvalidSetting:  http.StatusUnprocessableEntity,
	CodeConflict:        http.StatusConflict,
	CodeVersionMismatch: http.StatusPreconditionFailed,
	CodePlatformAway:    http.StatusServiceUnavailable,
	CodeOutcomeUnknown:  http.StatusGatewayTimeout,
	CodeNotReady:        http.StatusServiceUnavailable,
	CodeInternal:        http.StatusInternalServerError,
}

func newProblem(code, detail string) *Problem {
	status := statuses[code]
	return &Problem{
		Type:   "urn:quetzalbend:problem:" + code,
		Title:  http.StatusText(status),
		Status: status,
		Code:   code,
		Detail: detail,
	}
}

func writeJSON(w http.ResponseWriter, status int, contentType string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "encode answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// fail answers with a problem and counts it.
func (h *handler) fail(w http.ResponseWriter, err error) {
	var problem *Problem
	if !errors.As(err, &problem) {
		problem = newProblem(CodeInternal, err.Error())
	}
	if h.cfg.Counter != nil {
		h.cfg.Counter.Refused(problem.Code)
	}
	if problem.Code == CodeUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, problem.Status, "application/problem+json", problem)
}
