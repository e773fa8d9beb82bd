package callerhttp

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quetzalbend/internal/callerconn"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/dispatch"
	"quetzalbend/internal/drain"
)

// TimeoutHeader is the request header by which a caller shortens the deadline,
// in milliseconds.
const TimeoutHeader = "X-Request-Timeout-Ms"

// RequestIDHeader is the response header that holds the ID of the request, which
// Problem.RequestID repeats.
const RequestIDHeader = "X-Request-Id"

type handler struct {
	bounds     Bounds
	tables     Tables
	dispatcher Dispatcher
	limiter    Limiter
	recorder   Recorder
	leaving    func() bool
	drain      *drain.Drain
	memory     *memory.Budget
}

func newHandler(cfg Config) http.Handler {
	h := &handler{
		bounds:     cfg.Bounds,
		tables:     cfg.Tables,
		dispatcher: cfg.Dispatcher,
		limiter:    cfg.Limiter,
		recorder:   cfg.Recorder,
		leaving:    cfg.Leaving,
		drain:      cfg.Drain,
		memory:     cfg.Memory,
	}
	if h.memory == nil {
		h.memory = memory.NewBudget(0)
	}
	if h.leaving == nil {
		h.leaving = func() bool { return false }
	}
	if h.limiter == nil {
		h.limiter = noLimits{}
	}
	if h.recorder == nil {
		h.recorder = noRecorder{}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", h.serve(h.chat))
	mux.HandleFunc("GET /v1/models", h.serve(h.models))
	mux.HandleFunc("/v1/services/{service}/{path...}", h.serve(h.service))
	mux.HandleFunc("/", h.serve(h.notFound))
	return mux
}

// exchange holds one request and the state of its answer.
type exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	id      string
	start   time.Time
	table   *routing.Table
	account *catalog.Account
	class   schema.Class
	stream  *sseWriter // nil if the answer is not streamed
	tokens  int64

	memory *memory.Reservation // for the body
	answer *memory.Reservation // for the answer; nil until the request is to be sent
}

// catalog returns the catalog of the request's routing table. It stays the same
// until the request ends, even if the settings change.
func (x *exchange) catalog() *catalog.Catalog { return x.table.Catalog() }

// serve returns a handler that authenticates the caller, runs the endpoint, records
// measurements and answers failures with a problem.
func (h *handler) serve(endpoint func(*exchange) *failure) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, start: time.Now(), id: newRequestID(), table: h.tables.Table()}
		w.Header().Set(RequestIDHeader, x.id)
		h.closeWhileLeaving(w)
		x.memory = h.memory.Reserve()
		defer x.releaseMemory()
		head := h.memory.ReserveHead()
		defer head.Release()
		h.boundBody(x)
		failed := busy()
		if head.TrySet(callerconn.ParsedBytes(r)) {
			failed = h.authenticate(x)
		}
		if failed == nil {
			failed = endpoint(x)
		}
		h.record(x, failed)
		if failed == nil {
			return
		}
		if failed.streaming {
			x.stream.fail(failed.problem(x.id))
		}
		h.closeWhileLeaving(w)
		failed.write(w, x.id)
	}
}

// closeWhileLeaving asks the caller to connect elsewhere for its next request.
func (h *handler) closeWhileLeaving(w http.ResponseWriter) {
	if h.leaving() || h.drain.Started() {
		w.Header().Set("Connection", "close")
	}
}

func (x *exchange) releaseMemory() {
	x.memory.Release()
	x.answer.Release()
}

func newRequestID() string {
	return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
}

// authenticate sets the account whose bearer token the request carries.
func (h *handler) authenticate(x *exchange) *failure {
	if x.table == nil {
		failed := refuse(CodeNotReady, "")
		failed.retryAfter = time.Second
		return failed
	}
	scheme, token, _ := strings.Cut(x.r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return refuse(CodeUnauthorized, "a bearer token is required")
	}
	sum := sha256.Sum256([]byte(token))
	account, ok := x.catalog().Account(hex.EncodeToString(sum[:]))
	if !ok {
		return refuse(CodeUnauthorized, "the token is not known")
	}
	x.account = account
	return nil
}

func (h *handler) record(x *exchange, failed *failure) {
	observation := Observation{
		Class:   x.class,
		Code:    CodeOK,
		Latency: time.Since(x.start),
		Tokens:  x.tokens,
	}
	if x.account != nil {
		observation.Team, observation.Account = x.account.Team, x.account.Name
	}
	if failed != nil {
		observation.Code = failed.code
	}
	if x.stream != nil && x.stream.started {
		observation.FirstToken = x.stream.firstAt.Sub(x.start)
	}
	h.recorder.Finished(observation)
}

// run passes a request to the dispatcher if the limits admit it, with a deadline
// from the settings' and the caller's timeout.
func (h *handler) run(x *exchange, req *dispatch.Request, timeout time.Duration, out dispatch.StreamWriter) (*dispatch.Answer, *failure) {
	timeout, failed := callerTimeout(x.r, timeout)
	if failed != nil {
		return nil, failed
	}
	req.Deadline = x.start.Add(timeout)
	if !h.drain.Takes(time.Now(), req.Deadline) {
		return nil, leavingFailure()
	}
	if !h.reserveAnswer(x) {
		return nil, busy()
	}
	req.Memory = x.answer
	release, refusal := h.limiter.Admit(x.catalog(), x.account, demandOf(x, req))
	if refusal != nil {
		return nil, limitFailure(refusal)
	}
	outcome := Outcome{Code: CodeOK}
	defer func() { release(outcome) }()
	ctx, cancel := context.WithDeadline(x.r.Context(), req.Deadline)
	defer cancel()
	defer context.AfterFunc(h.drain.Context(), cancel)()
	answer, err := h.dispatcher.Do(ctx, x.table, req, out)
	if err != nil {
		failed := dispatchFailure(err)
		if failed.code == dispatch.CodeCallerGone && x.r.Context().Err() == nil {
			failed = failed.atStop()
		}
		outcome.Code = failed.code
		if x.stream != nil {
			outcome.Tokens = x.stream.pieces
		}
		return nil, failed
	}
	x.tokens, outcome.Tokens = answer.Tokens, answer.Tokens
	outcome.Queued = answer.Queued > 0
	return answer, nil
}

func demandOf(x *exchange, req *dispatch.Request) Demand {
	if req.Service != nil {
		return Demand{Kind: schema.ServiceTarget, Name: req.Service.GetService(), Class: x.class}
	}
	return Demand{Kind: schema.ModelTarget, Name: req.Model.GetModel(), Class: x.class}
}

// limitFailure returns the failure for a request that a limit refuses.
func limitFailure(refusal *Refusal) *failure {
	failed := refuse(refusal.Code, "")
	failed.status = http.StatusTooManyRequests
	failed.retryAfter = refusal.RetryAfter
	return failed
}

// callerTimeout returns the smaller of timeout and the caller's TimeoutHeader.
func callerTimeout(r *http.Request, timeout time.Duration) (time.Duration, *failure) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return timeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, refuse(CodeBadRequest, TimeoutHeader+" must be a whole number of milliseconds above 0")
	}
	return min(timeout, time.Duration(ms)*time.Millisecond), nil
}

func (h *handler) notFound(*exchange) *failure { return refuse(CodeNotFound, "") }

type noLimits struct{}

// Admit implements Limiter.
func (noLimits) Admit(*catalog.Catalog, *catalog.Account, Demand) (func(Outcome), *Refusal) {
	return func(Outcome) {}, nil
}

type noRecorder struct{}

// Finished implements Recorder.
func (noRecorder) Finished(Observation) {}

// BetweenTokens implements Recorder.
func (noRecorder) BetweenTokens(string, schema.Class, time.Duration) {}
