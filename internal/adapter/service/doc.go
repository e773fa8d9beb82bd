// Package service is the client of a plain service. A call that may not be
// repeated goes out in a way that the HTTP library can never send it twice.
package service
