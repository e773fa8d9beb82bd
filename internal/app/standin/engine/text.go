package engine

import (
	"hash/fnv"
	"strconv"
)

// seed returns a hash of a request's messages, which determines the answer's text.
func seed(messages []message) uint64 {
	hash := fnv.New64a()
	for _, m := range messages {
		_, _ = hash.Write([]byte(m.Role))
		_, _ = hash.Write([]byte{0})
		_, _ = hash.Write([]byte(m.Content))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// token returns the token at position i, counted from 0, of the text that belongs
// to seed.
func token(seed uint64, i int) string {
	const multiplier, vocabulary = 6364136223846793005, 50000
	mixed := (seed + uint64(i)*0x9e3779b97f4a7c15) * multiplier
	return " w" + strconv.FormatUint((mixed>>33)%vocabulary, 10)
}

// Text returns the complete answer to a request with one user message. Tests and
// the demo compare it with the answers that callers got.
func Text(content string, tokens int) string {
	s := seed([]message{{Role: "user", Content: content}})
	var text []byte
	for i := range tokens {
		text = append(text, token(s, i)...)
	}
	return string(text)
}
