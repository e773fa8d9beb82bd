// Package serve holds what the HTTP stand-ins share.
package serve
