package callerhttp

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"quetzalbend/internal/dispatch"
	"quetzalbend/internal/wire"
)

// Codes of failures that arise in this package. They are part of the API.
const (
	CodeUnauthorized      = "unauthorized"
	CodeNotReady          = "not_ready"
	CodeBadRequest        = "bad_request"
	CodeBodyTooLarge      = "body_too_large"
	CodeBodyTimeout       = "body_timeout"
	CodeBusy              = "busy" // there is no memory for the request
	CodeUnknownModel      = "unknown_model"
	CodeUnknownService    = "unknown_service"
	CodeNoRoute           = "no_route"
	CodeKeyRequired       = "idempotency_key_required"
	CodeInvalidKey        = "invalid_idempotency_key"
	CodeNotFound          = "not_found"
	CodeLeaving           = "leaving"       // the entry leaves, and might have left before the answer
	CodeStopped           = "entry_stopped" // the entry has left before the answer
	problemContentType    = "application/problem+json"
	statusCallerGone      = 499 // no caller receives it, as the caller has disconnected
	problemTypeURNPrefix  = "urn:quetzalbend:problem:"
	minRetryAfterInHeader = time.Second
)

// Problem is the body of a failed request (RFC 9457).
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Code      string `json:"code"`
	Ran       string `json:"ran"` // "no", "yes" or "unknown"
	Detail    string `json:"detail,omitempty"`
	RequestID string `json:"request_id,omitempty"`
}

var statusByCode = map[string]int{
	CodeUnauthorized:            http.StatusUnauthorized,
	CodeNotReady:                http.StatusServiceUnavailable,
	CodeBadRequest:              http.StatusBadRequest,
	CodeBodyTooLarge:            http.StatusRequestEntityTooLarge,
	CodeBodyTimeout:             http.StatusRequestTimeout,
	CodeStopped:                 http.StatusGatewayTimeout,
	CodeUnknownModel:            http.StatusNotFound,
	CodeUnknownService:          http.StatusNotFound,
	CodeNoRoute:                 http.StatusNotFound,
	CodeNotFound:                http.StatusNotFound,
	CodeKeyRequired:             http.StatusBadRequest,
	CodeInvalidKey:              http.StatusBadRequest,
	"bad_call":                  http.StatusBadRequest,
	"key_reused":                http.StatusUnprocessableEntity,
	"key_expired":               http.StatusConflict,
	"key_from_ahead":            http.StatusConflict,
	dispatch.CodeDeadline:       http.StatusGatewayTimeout,
	dispatch.CodeCallerGone:     statusCallerGone,
	dispatch.CodeIncomplete:     http.StatusBadGateway,
	dispatch.CodeCrashesTargets: http.StatusUnprocessableEntity,
	dispatch.CodePartCrashes:    http.StatusUnprocessableEntity,
	dispatch.CodePartSuspect:    http.StatusServiceUnavailable,
	dispatch.CodeOutcomeUnknown: http.StatusBadGateway,
	dispatch.CodeAnswerLost:     http.StatusBadGateway,
	dispatch.CodeAnswerTooLarge: http.StatusBadGateway,
	dispatch.CodeNoMemory:       http.StatusBadGateway,
}

// failure describes why a request failed: it was refused before it reached the
// dispatcher, or the dispatcher returned an error.
type failure struct {
	code       string
	status     int // 0: derived from code and ran
	ran        wire.Ran
	retryAfter time.Duration
	detail     string
	streaming  bool // part of the answer has been sent
}

// refuse returns the failure of a request that did not run.
func refuse(code, detail string) *failure {
	return &failure{code: code, ran: wire.Ran_RAN_NO, detail: detail}
}

// leavingFailure returns the failure of a request that other entries can take at once.
func leavingFailure() *failure {
	failed := refuse(CodeLeaving, "")
	failed.retryAfter = time.Second
	return failed
}

// atStop returns the failure of a request that was given up as the entry left.
func (f *failure) atStop() *failure {
	if f.ran == wire.Ran_RAN_NO && !f.streaming {
		return leavingFailure()
	}
	stopped := *f
	stopped.code = CodeStopped
	return &stopped
}

// dispatchFailure returns the failure for an error of the dispatcher.
func dispatchFailure(err error) *failure {
	cause, ok := dispatch.AsFailure(err)
	if !ok {
		return &failure{code: dispatch.CodeOutcomeUnknown, detail: err.Error()}
	}
	failed := &failure{
		code:       cause.Code,
		ran:        cause.Ran,
		retryAfter: cause.RetryAfter,
		streaming:  cause.Streaming,
	}
	if cause.Cause != nil {
		failed.detail = cause.Cause.Error()
	}
	return failed
}

func (f *failure) httpStatus() int {
	if f.status != 0 {
		return f.status
	}
	if status, ok := statusByCode[f.code]; ok {
		return status
	}
	if f.ran == wire.Ran_RAN_NO {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func (f *failure) problem(requestID string) Problem {
	status := f.httpStatus()
	return Problem{
		Type:      problemTypeURNPrefix + f.code,
		Title:     http.StatusText(status),
		Status:    status,
		Code:      f.code,
		Ran:       ranText(f.ran),
		Detail:    f.detail,
		RequestID: requestID,
	}
}

func ranText(ran wire.Ran) string {
	switch ran {
	case wire.Ran_RAN_NO:
		return "no"
	case wire.Ran_RAN_YES:
		return "yes"
	case wire.Ran_RAN_UNKNOWN:
	}
	return "unknown"
}

func (f *failure) write(w http.ResponseWriter, requestID string) {
	problem := f.problem(requestID)
	body, err := json.Marshal(problem)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set("Content-Type", problemContentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if f.code == CodeUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if f.retryAfter > 0 {
		seconds := math.Ceil(max(f.retryAfter, minRetryAfterInHeader).Seconds())
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(problem.Status)
	_, _ = w.Write(body)
}
