package link

import "errors"

// notSentError marks a failure before anything of a stream reached the peer.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return e.cause.Error() }
func (e *notSentError) Unwrap() error { return e.cause }

// IsNotSent reports whether err of Pool.Open says that the Open message has
// certainly not reached the peer.
func IsNotSent(err error) bool {
	var notSent *notSentError
	return errors.As(err, &notSent)
}
