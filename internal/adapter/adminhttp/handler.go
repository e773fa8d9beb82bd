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

// bootstrapOperator is the author of writes under the bootstrap token.
const bootstrapOperator = "bootstrap"

// operator is the author of a request.
type operator struct {
	name    string
	subtree string
}

// request is an authorized request with the settings it is judged by.
type request struct {
	*http.Request

	operator operator
	snapshot *settings.Snapshot
	catalog  *catalog.Catalog
}

type handler struct {
	cfg Config

	mu    sync.Mutex
	built *catalog.Catalog // the last one that was built here
}

// NewHandler returns the handler of everything under Prefix.
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

// authorized serves requests of known operators only.
func (h *handler) authorized(serve func(http.ResponseWriter, request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// Errors mean that the connection has no deadlines, as in tests.
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
	name := hex.EncodeToString(hash[:])
	snapshot, current := h.current()
	if found, ok := h.operatorOf(name, current); ok {
		if snapshot == nil {
			return request{}, newProblem(CodeNotReady, "the entry has no settings yet")
		}
		return request{Request: r, operator: found, snapshot: snapshot, catalog: current}, nil
	}
	return request{}, newProblem(CodeUnauthorized, "no operator has this token")
}

func (h *handler) operatorOf(hash string, current *catalog.Catalog) (operator, bool) {
	if hash == h.cfg.BootstrapOperatorTokenSHA256 {
		return operator{name: bootstrapOperator, subtree: "/"}, true
	}
	if current == nil {
		return operator{}, false
	}
	found, ok := current.Operators[hash]
	return operator{name: current.OperatorNames[hash], subtree: found.Subtree}, ok
}

// current returns the settings in force with their catalog; nil before there are
// any. The entry's catalog may be behind the snapshot for a moment; a write that
// was answered must show in the next read all the same.
func (h *handler) current() (*settings.Snapshot, *catalog.Catalog) {
	current := h.lastCatalog()
	snapshot := h.cfg.Settings.Snapshot()
	if snapshot == nil {
		return nil, nil
	}
	if current == nil || current.Offset < snapshot.Offset() {
		current = catalog.Rebuild(current, snapshot)
		h.keep(current)
	}
	return snapshot, current
}

// lastCatalog returns the entry's catalog, or the last one that was built here if
// the entry has none.
func (h *handler) lastCatalog() *catalog.Catalog {
	if h.cfg.Catalog != nil {
		return h.cfg.Catalog()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.built
}

// keep remembers a catalog that was built here if the entry has none.
func (h *handler) keep(built *catalog.Catalog) {
	if h.cfg.Catalog != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.built == nil || h.built.Offset < built.Offset {
		h.built = built
	}
}

// mayRead reports whether the operator may read path. What teams share can be
// read by all.
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
