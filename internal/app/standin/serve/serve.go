package serve

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// HTTP serves handler on listener until ctx ends, then drops all connections.
func HTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler} //nolint:gosec // a stand-in on loopback
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve on %s", listener.Addr())
}

// JSON answers a request with v as JSON.
func JSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
