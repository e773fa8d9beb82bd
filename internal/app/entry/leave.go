package entry

import (
	"context"
	"net/http"

	"github.com/apex/log"
)

// leave takes the entry out of service without cutting off requests that end
// within the grace time.
func (e *Entry) leave(work context.Context, callers *http.Server) {
	e.health.leaving.Store(true)
	log.Info("entry leaving")
	pause(work, milliseconds(e.cfg.NoticeMS))
	grace, cancel := context.WithTimeout(work, milliseconds(e.cfg.GraceMS))
	defer cancel()
	if err := callers.Shutdown(grace); err != nil {
		log.WithError(err).Warn("requests still running after the grace time")
		_ = callers.Close()
	}
}
