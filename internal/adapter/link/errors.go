package link

import "errors"

// notSentError reports a failure before any byte of a stream reached the peer.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return e.cause.Error() }
func (e *notSentError) Unwrap() error { return e.cause }

// IsNotSent reports whether err, which Pool.Open returned, guarantees that the
// Open message has not reached the peer.
func IsNotSent(err error) bool {
	var notSent *notSentError
	return errors.As(err, &notSent)
}
