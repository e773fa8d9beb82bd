// Package answers reads the answers of other programs more strictly than net/http does. It
// turns away what is no answer of HTTP/1: a status that is none, and a head, an interim head or
// a trailer with a field that has no valid name, which net/http passes over. An answer that
// ends with its connection is whole only if the connection was not reset and the request had
// been written by then.
//
// All programs read answers through its Transport.
package answers
