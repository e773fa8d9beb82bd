// Package keys builds TLS configurations from certificate, key and CA files and
// reloads the files when they change, without a restart. Open connections keep the
// certificates that they were set up with.
package keys
