// Package body reads the bodies of requests and answers into memory that is reserved
// before it is used, see package internal/core/memory.
//
// The programs that serve requests use it, through internal/app/gateway, the adapters of
// callers, engines and services, and internal/dispatch.
package body

import (
	"io"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/memory"
)

const (
	// FirstBytes is the size of the first buffer of a body whose length is not known.
	FirstBytes = 4 << 10
	// maxFirstBytes is what a body with a length is given at once. More is given as it
	// comes, since its sender may send nothing.
	maxFirstBytes = memory.LargeBytes
	growthFactor  = 2
)

// ErrNoMemory reports that all requests together hold as much as they may.
var ErrNoMemory = errors.New("no memory for the body")

// Read reads all that follows. length is the number of bytes, negative if it is not known;
// limit is the largest number for which from does not fail. On an error the reservation
// keeps what was read until it is released.
func Read(from io.Reader, length, limit int64, reserved *memory.Reservation) ([]byte, error) {
	first := min(length, maxFirstBytes)
	if length < 0 {
		first, length = min(FirstBytes, limit), limit
	}
	body, err := grown(nil, first, reserved)
	for err == nil {
		if len(body) == cap(body) {
			var more []byte
			more, err = nextByte(from)
			if err != nil || more == nil {
				return body, err
			}
			if body, err = grown(body, nextSize(int64(cap(body)), length), reserved); err != nil {
				return nil, err
			}
			body = append(body, more...)
		}
		var n int
		n, err = from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
	}
	if errors.Is(err, io.EOF) {
		return body, nil
	}
	return nil, err
}

// nextSize returns the size of the buffer after one of the given size.
func nextSize(size, length int64) int64 {
	next := growthFactor*size + FirstBytes
	if size < length {
		return min(next, length)
	}
	return next
}

// grown returns a buffer of the given size with the content of a smaller one.
func grown(body []byte, size int64, reserved *memory.Reservation) ([]byte, error) {
	if !reserved.TryGrow(size) {
		return nil, ErrNoMemory
	}
	larger := append(make([]byte, 0, size), body...)
	reserved.Shrink(int64(cap(body)))
	return larger, nil
}

// nextByte returns the next byte, nil at the end.
func nextByte(from io.Reader) ([]byte, error) {
	next := make([]byte, 1)
	_, err := io.ReadFull(from, next)
	if errors.Is(err, io.EOF) {
		return nil, nil
	}
	return next, err
}
