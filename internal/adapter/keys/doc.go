// Package keys gives TLS configurations from certificate and key files and
// reads the files again when they change, without a restart. Connections that
// are open keep what they began with.
package keys
