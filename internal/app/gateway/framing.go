package gateway

import (
	"net/http"
	"strconv"

	"quetzalbend/internal/adapter/unframed"
	"quetzalbend/internal/eventlog"
	"quetzalbend/platform"
)

// isEmptyUnframed reports whether an answer of success is no more than a head, so that it
// may be cut.
func (r *bufferedResponse) isEmptyUnframed() bool {
	return !r.framed && len(r.body) == 0 && r.status < http.StatusMultipleChoices
}

// resetsWhenClosed sets whether the end of the caller's connection shows as a reset.
func (x *exchange) resetsWhenClosed(resets bool) {
	if err := unframed.ResetWhenClosed(x.request, resets); err != nil {
		x.gateway.log.Decision("connection not set up", eventlog.Fields{"request": x.caller.RequestID, "error": err.Error()})
	}
}

// startAnswer sends the head of a target's answer. length is that of the body, negative if
// it is not known. An answer whose end the target does not mark ends for the caller as it
// does for the gateway: with the connection.
func (x *exchange) startAnswer(status int, from http.Header, isFramed bool, length int) {
	header := x.writer.Header()
	platform.CallerHeaders(header, from)
	x.closeWhileStopping()
	switch {
	case !isFramed:
		header.Set("Transfer-Encoding", unframed.TransferEncoding)
	case length >= 0 && x.request.Method != http.MethodHead:
		header.Set("Content-Length", strconv.Itoa(length))
	}
	x.endsWithConnection = !isFramed || length < 0 && !x.request.ProtoAtLeast(1, 1)
	if x.endsWithConnection {
		x.resetsWhenClosed(true)
	}
	x.writer.WriteHeader(status)
}

// finishAnswer ends an answer that the caller has whole.
func (x *exchange) finishAnswer() error {
	if !x.endsWithConnection {
		return nil
	}
	err := http.NewResponseController(x.writer).Flush()
	if err == nil {
		x.resetsWhenClosed(false)
	}
	return err
}
