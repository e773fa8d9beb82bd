package adminhttp

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
)

// Prefix is the path below which the API is served.
const Prefix = "/admin/v1/"

// bootstrapOperator is the author of writes with the bootstrap token.
const bootstrapOperator = "bootstrap"

// operator is the operator who sent a request, and the subtree that they may write.
type operator struct {
	name    string
	subtree string
}

// request is an authorized request with the settings that it is checked against.
type request struct {
	*http.Request

	operator operator
	snapshot *settings.Snapshot
	catalog  *catalog.Catalog
}

type handler struct {
	cfg Config

	mu     sync.Mutex
	cached *catalog.Catalog // the newest one that was built here
}

// NewHandler returns the handler of all requests under Prefix.
func NewHandler(cfg Config) http.Handler {
	h := &handler{cfg: cfg.withDefaults()}
	mux := http.NewServeMux()
	handle := func(method, path string, serve func(request) (any, error)) {
		mux.HandleFunc(method+" "+Prefix+path, h.authorized(func(w http.ResponseWriter, r request) error {
			answer, err := serve(r)
			if err == nil {
				writeJSON(w, http.StatusOK, "application/json", answer)
			}
			return err
		}))
	}
	handle("GET", "settings", h.list)
	handle("GET", "history", h.history)
	handle("GET", "teams", h.teams)
	handle("GET", "nodes", h.nodes)
	handle("GET", "in-force", h.inForce)
	handle("GET", "targets", h.targets)
	handle("GET", "status", h.status)
	handle("GET", "explain", h.explain)
	handle("GET", "operations/{operation...}", h.operation)
	mux.HandleFunc("GET "+Prefix+"settings/{path...}", h.authorized(h.get))
	mux.HandleFunc("PUT "+Prefix+"settings/{path...}", h.authorized(h.put))
	mux.HandleFunc("DELETE "+Prefix+"settings/{path...}", h.authorized(h.remove))
	mux.HandleFunc("POST "+Prefix+"validate", h.authorized(h.validate))
	mux.HandleFunc(Prefix, h.authorized(func(_ http.ResponseWriter, r request) error {
		return newProblem(CodeNotFound, "no such resource: "+r.Method+" "+r.URL.Path)
	}))
	return mux
}

// authorized returns a handler that serves requests of known operators and refuses
// others.
func (h *handler) authorized(serve func(http.ResponseWriter, request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// Setting the deadline fails only if the connection has none, as in tests.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.cfg.ReadTimeout))
		authorized, err := h.authorize(r)
		if err == nil {
			err = serve(w, authorized)
		}
		if err != nil {
			h.fail(w, err)
		}
	}
}

func (h *handler) authorize(r *http.Request) (request, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return request{}, newProblem(CodeUnauthorized, "want Authorization: Bearer TOKEN")
	}
	hash := sha256.Sum256([]byte(token))
	tokenHash := hex.EncodeToString(hash[:])
	snapshot, current := h.current()
	if found, ok := h.findOperator(tokenHash, current); ok {
		if snapshot == nil {
			return request{}, newProblem(CodeNotReady, "the entry has no settings yet")
		}
		return request{Request: r, operator: found, snapshot: snapshot, catalog: current}, nil
	}
	return request{}, newProblem(CodeUnauthorized, "no operator has this token")
}

// findOperator returns the operator whose token has the given hash.
func (h *handler) findOperator(hash string, current *catalog.Catalog) (operator, bool) {
	if hash == h.cfg.BootstrapOperatorTokenSHA256 {
		return operator{name: bootstrapOperator, subtree: "/"}, true
	}
	if current == nil {
		return operator{}, false
	}
	found, ok := current.Operators[hash]
	return operator{name: current.OperatorNames[hash], subtree: found.Subtree}, ok
}

// current returns the settings in force and their catalog, or nil before there are
// any. The entry's catalog may be behind the snapshot for a moment. Then current
// builds a newer one, since the next read after an answered write must show it.
func (h *handler) current() (*settings.Snapshot, *catalog.Catalog) {
	current := h.knownCatalog()
	snapshot := h.cfg.Settings.Snapshot()
	if snapshot == nil {
		return nil, nil
	}
	if current == nil || current.Offset < snapshot.Offset() {
		current = catalog.Rebuild(current, snapshot)
		h.cacheCatalog(current)
	}
	return snapshot, current
}

// knownCatalog returns the entry's catalog, or the newest one that was built here
// if Config.Catalog is nil.
func (h *handler) knownCatalog() *catalog.Catalog {
	if h.cfg.Catalog != nil {
		return h.cfg.Catalog()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cached
}

// cacheCatalog keeps a catalog that was built here if Config.Catalog is nil.
func (h *handler) cacheCatalog(cached *catalog.Catalog) {
	if h.cfg.Catalog != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cached == nil || h.cached.Offset < cached.Offset {
		h.cached = cached
	}
}

// mayRead reports whether the operator may read path. Every operator may read their
// own subtree, and the failure domains, targets and groups that belong to no team.
func (o operator) mayRead(path string) bool {
	if schema.MayWrite(o.subtree, path) || path == o.subtree {
		return true
	}
	parsed, err := schema.ParsePath(path)
	if err != nil || parsed.Team != "" {
		return false
	}
	switch parsed.Kind {
	case schema.KindDomain, schema.KindTarget, schema.KindGroup:
		return true
	}
	return false
}

// readBody reads a body of at most limit bytes.
func readBody(w http.ResponseWriter, r request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, newProblem(CodeBodyTooLarge, errors.Errorf("at most %d bytes", limit).Error())
	case err != nil:
		return nil, newProblem(CodeBadRequest, "read body: "+err.Error())
	}
	return data, nil
}
