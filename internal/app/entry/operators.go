package entry

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"quetzalbend/internal/adapter/adminhttp"
)

// Bounds of what one operator's connection may hold.
const (
	operatorsHeaderTimeout = 5 * time.Second
	operatorsIdleTimeout   = time.Minute
	operatorsHeaderBytes   = 32 << 10
)

// health tells the platform's balancer whether the entry serves.
type health struct {
	tables    *tables
	leaving   atomic.Bool // by its own signal
	vmLeaving atomic.Bool // by the platform's list
}

// isLeaving reports whether callers should connect to other entries.
func (h *health) isLeaving() bool { return h.leaving.Load() || h.vmLeaving.Load() }

func (h *health) ready(w http.ResponseWriter, _ *http.Request) {
	obstacle := h.tables.obstacle()
	if h.isLeaving() {
		obstacle = "leaving"
	}
	if obstacle != "" {
		http.Error(w, obstacle, http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ok")
}

func (h *health) alive(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, "ok")
}

// newOperatorsServer returns the operators' HTTP server.
func (e *Entry) newOperatorsServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", e.health.alive)
	mux.HandleFunc("GET /readyz", e.health.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		mergeMetrics(e.settings, e.registry)
		e.registry.Handler().ServeHTTP(w, r)
	})
	mux.Handle(adminhttp.Prefix, e.newAdminHandler())
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: operatorsHeaderTimeout,
		IdleTimeout:       operatorsIdleTimeout,
		MaxHeaderBytes:    operatorsHeaderBytes,
	}
}
