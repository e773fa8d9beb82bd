package settings

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of a write, in bytes. They are part of the record format: all versions
// of the program must use the same values.
const (
	MaxPathBytes      = 512
	MaxValueBytes     = 64 << 10
	MaxOperationBytes = 128
	MaxAuthorBytes    = 256
)

// ValidPath reports whether path may name a setting: it starts with a slash,
// has no empty, "." or ".." segment, and holds no control character or space.
func ValidPath(path string) bool {
	if len(path) < 2 || len(path) > MaxPathBytes || path[0] != '/' || !utf8.ValidString(path) {
		return false
	}
	for _, segment := range strings.Split(path[1:], "/") {
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
	}
	return !strings.ContainsFunc(path, func(r rune) bool {
		return unicode.IsControl(r) || unicode.IsSpace(r)
	})
}
