// Package serve holds the HTTP server code that the stand-ins share.
package serve
