package entry

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"quetzalbend/internal/adapter/adminhttp"
	"quetzalbend/internal/callerconn"
	"quetzalbend/internal/metrics"
)

// Limits of an operator's connection.
const (
	operatorsHeaderTimeout = 5 * time.Second
	operatorsIdleTimeout   = 15 * time.Second
	operatorsHeaderBytes   = 32 << 10
	operatorsConnections   = 256
	operatorsRetryAfter    = time.Second
)

// operatorsBounds returns the bounds on operators' connections without TLS.
func (e *Entry) operatorsBounds() *callerconn.Bounds {
	limits := callerconn.Limits{
		HeaderBytes: operatorsHeaderBytes, HeaderTimeout: operatorsHeaderTimeout, IdleTimeout: operatorsIdleTimeout,
	}
	return &callerconn.Bounds{
		Limits:      func() callerconn.Limits { return limits },
		Descriptors: operatorsConnections, Memory: e.memory, RetryAfter: operatorsRetryAfter,
		Ended: func(reason callerconn.Reason, _ string) { e.registry.Refused(string(reason), metrics.Key{}) },
	}
}

// health answers the health checks of the platform's load balancer.
type health struct {
	tables    *tables
	leaving   atomic.Bool // the entry is shutting down
	vmLeaving atomic.Bool // the platform lists the entry's VM as leaving
}

// isLeaving reports whether callers should connect to other entries.
func (h *health) isLeaving() bool { return h.leaving.Load() || h.vmLeaving.Load() }

func (h *health) ready(w http.ResponseWriter, _ *http.Request) {
	notReadyReason := h.tables.notReadyReason()
	if h.isLeaving() {
		notReadyReason = "leaving"
	}
	if notReadyReason != "" {
		http.Error(w, notReadyReason, http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ok")
}

func (h *health) alive(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, "ok")
}

// newOperatorsServer returns the HTTP server for health checks, metrics and the
// administration API.
func (e *Entry) newOperatorsServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", e.health.alive)
	mux.HandleFunc("GET /readyz", e.health.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		copyMetrics(e.settingsMetrics, e.registry)
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
