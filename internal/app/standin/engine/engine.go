package engine

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"quetzalbend/internal/app/standin/serve"
)

// Engine is a stand-in engine.
type Engine struct {
	state *state
	mux   *http.ServeMux
}

// New returns an engine, which is an HTTP handler.
func New(config Config) *Engine {
	e := &Engine{state: newState(config.withDefaults()), mux: http.NewServeMux()}
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { serve.JSON(w, e.state.load()) })
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	e.mux.HandleFunc("GET /standin/truth", func(w http.ResponseWriter, _ *http.Request) { serve.JSON(w, e.Truth()) })
	e.mux.HandleFunc("POST /standin/fault", e.fault)
	return e
}

// ServeHTTP serves the engine's protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Truth returns what really happened so far.
func (e *Engine) Truth() Truth { return e.state.currentTruth() }

// Run serves an engine on config.Listen until ctx ends.
func Run(ctx context.Context, config Config) error {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", config.Listen)
	}
	return serve.HTTP(ctx, listener, New(config))
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.state.order(order) {
		http.Error(w, "old fencing number", http.StatusConflict)
	}
}

func (e *Engine) fault(w http.ResponseWriter, r *http.Request) {
	faults := e.state.currentFaults()
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.state.setFaults(faults)
}
