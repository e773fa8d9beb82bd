// Package service is the HTTP client of a plain service. It sends a call that may
// not be repeated in such a way that net/http cannot resend it.
package service
