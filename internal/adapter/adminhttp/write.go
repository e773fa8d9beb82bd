package adminhttp

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/check"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/settingssync"
)

// maxKeyBytes bounds an operator's Idempotency-Key.
const maxKeyBytes = 64

// answerTimeout is the time to send the answer after the deadline of a write.
const answerTimeout = 5 * time.Second

func (h *handler) put(w http.ResponseWriter, r request) error {
	write, err := newWrite(r)
	if err != nil {
		return err
	}
	if write.Value, err = readBody(w, r, schema.MaxValueBytes); err != nil {
		return err
	}
	problems := schema.Check(write.Path, write.Value, r.catalog.View())
	return h.write(w, r, write, problems)
}

func (h *handler) remove(w http.ResponseWriter, r request) error {
	write, err := newWrite(r)
	if err != nil {
		return err
	}
	write.Delete = true
	if _, ok := r.snapshot.Get(write.Path); !ok && write.Operation == "" && write.IfVersion == nil {
		return newProblem(CodeNotFound, "there is no "+write.Path)
	}
	return h.write(w, r, write, schema.CheckDelete(write.Path, r.catalog.View()))
}

// newWrite returns the write that the path and headers of the request describe,
// without its value.
func newWrite(r request) (settingssync.WriteRequest, error) {
	path, err := settingsPath(r)
	if err != nil {
		return settingssync.WriteRequest{}, err
	}
	if !schema.MayWrite(r.operator.subtree, path) {
		return settingssync.WriteRequest{}, newProblem(CodeOutsideSubtree, outsideDetail(r.operator, path))
	}
	parsed, _ := schema.ParsePath(path)
	write := settingssync.WriteRequest{Path: path, Author: r.operator.name, Team: parsed.Team}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		if len(key) > maxKeyBytes {
			return write, newProblem(CodeBadRequest, fmt.Sprintf("Idempotency-Key: want at most %d bytes", maxKeyBytes))
		}
		// The operator's name keeps equal keys of different operators apart. As the
		// operation id is derived from the key, Outcome needs no lookup.
		write.Operation = r.operator.operation(key)
	}
	return write, readConditions(r, &write)
}

// operation returns the operation id of the operator's write with a key.
func (o operator) operation(key string) string { return o.name + ":" + key }

// readConditions sets the conditions of write from If-Match and If-None-Match.
func readConditions(r request, write *settingssync.WriteRequest) error {
	switch absent := r.Header.Get("If-None-Match"); absent {
	case "":
	case "*":
		write.IfAbsent = true
	default:
		return newProblem(CodeBadRequest, "If-None-Match: want *")
	}
	match := r.Header.Get("If-Match")
	if match == "" {
		return nil
	}
	text, err := strconv.Unquote(match)
	if err == nil {
		var version int64
		version, err = strconv.ParseInt(text, 10, 64)
		write.IfVersion = &version
	}
	if err != nil || *write.IfVersion < 0 {
		return newProblem(CodeBadRequest, `If-Match: want the ETag of a setting, such as "17"`)
	}
	return nil
}

// write carries out a write, unless problems holds more than warnings.
func (h *handler) write(w http.ResponseWriter, r request, write settingssync.WriteRequest, problems []check.Problem) error {
	if check.Failed(problems) {
		problem := newProblem(CodeInvalidSetting, "")
		problem.Problems = problems
		return problem
	}
	deadline := time.Now().Add(h.cfg.WriteTimeout)
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(answerTimeout))
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	result, err := h.cfg.Settings.Put(ctx, write)
	switch {
	case errors.Is(err, settingssync.ErrNotReady):
		return newProblem(CodeNotReady, err.Error())
	case err != nil:
		return newProblem(CodeBadRequest, err.Error())
	}
	answer := writeResult(result)
	answer.Warnings = problems
	if result.Status != settingssync.Accepted {
		conditional := write.IfVersion != nil || write.IfAbsent
		return writeProblem(answer, result.Status, conditional)
	}
	w.Header().Set("ETag", entityTag(result.Offset))
	writeJSON(w, http.StatusOK, "application/json", answer)
	return nil
}

func writeResult(result settingssync.WriteOutcome) WriteResult {
	return WriteResult{
		Status:    string(result.Status),
		Operation: result.Operation,
		Offset:    result.Offset,
		Reason:    result.Reason,
	}
}

// writeProblem returns the problem of a write that is not known to be accepted.
func writeProblem(answer WriteResult, status settingssync.Status, conditional bool) *Problem {
	code := CodeOutcomeUnknown
	detail := "the write may take effect; ask for its operation"
	switch {
	case status == settingssync.Rejected && conditional:
		code, detail = CodeVersionMismatch, "the path does not have the version asked for"
	case status == settingssync.Rejected:
		code, detail = CodeConflict, "another write came first; read the path again"
	case status == settingssync.NotAccepted:
		code, detail = CodePlatformAway, "the platform's log is away; nothing was written"
	}
	problem := newProblem(code, detail)
	problem.Result = &answer
	return problem
}

// operation answers with the outcome of an earlier write. The request names the write
// by the operation id that it was answered with, or by the operator's own
// Idempotency-Key.
func (h *handler) operation(r request) (any, error) {
	id := r.PathValue("operation")
	if !strings.Contains(id, ":") && len(id) <= maxKeyBytes {
		id = r.operator.operation(id)
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.cfg.WriteTimeout)
	defer cancel()
	result, err := h.cfg.Settings.Outcome(ctx, id)
	answer := writeResult(result)
	if err != nil {
		problem := newProblem(CodeOutcomeUnknown, err.Error())
		problem.Result = &answer
		return nil, problem
	}
	return answer, nil
}
