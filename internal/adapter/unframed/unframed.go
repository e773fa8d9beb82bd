// Package unframed deals with answers of HTTP/1 that have neither a length nor chunks. The
// end of such an answer is that of its connection, so that a cut one may look whole.
package unframed

import (
	"context"
	"net"
	"net/http"
)

// TransferEncoding is the value of the header of that name that makes net/http send neither
// a length nor chunks, and close the connection after the answer.
const TransferEncoding = "identity"

// IsFramed reports whether an answer has an end of its own: by a length, by chunks or since
// it has no body.
func IsFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Request.Method == http.MethodHead
}

type connectionKey struct{}

// WithConnection is a ConnContext of a server. ResetWhenClosed needs it.
func WithConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// ResetWhenClosed sets whether the end of a request's connection shows to its caller as a
// reset, whether this process closes it or ends. Otherwise it would end an unframed answer
// as if it were whole.
func ResetWhenClosed(r *http.Request, resets bool) error {
	linger := -1
	if resets {
		linger = 0
	}
	conn := r.Context().Value(connectionKey{})
	for {
		switch c := conn.(type) {
		case interface{ SetLinger(int) error }:
			return c.SetLinger(linger)
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil // the connection is not that of a process, such as in a test
		}
	}
}
