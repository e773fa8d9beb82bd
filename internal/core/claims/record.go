package claims

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"
)

const digestSize = 16 // bytes

// digest is a truncated SHA-256 hash, encoded in hex within records.
type digest [digestSize]byte

// Key identifies a call within one service: a digest of account and idempotency
// key.
type Key digest

// Fingerprint is a digest of a call's method, path and body.
type Fingerprint digest

// KeyOf returns the key for an account and its idempotency key.
func KeyOf(account, idempotencyKey string) Key {
	return Key(digestOf([]byte(account), []byte(idempotencyKey)))
}

// FingerprintOf returns the fingerprint of a call.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	return Fingerprint(digestOf([]byte(method), []byte(path), body))
}

// digestOf hashes the digests of its parts, so that different lists of parts
// whose concatenations are equal have different digests.
func digestOf(parts ...[]byte) digest {
	hash := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return digest(hash.Sum(nil)[:digestSize])
}

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return digest(k).text(), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error { return (*digest)(k).parse(text) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return digest(f).text(), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error { return (*digest)(f).parse(text) }

func (d digest) text() []byte { return hex.AppendEncode(nil, d[:]) }

func (d *digest) parse(text []byte) error {
	decoded, err := hex.AppendDecode(nil, text)
	if err != nil || len(decoded) != digestSize {
		return errors.Errorf("digest %q: want %d hex bytes", text, digestSize)
	}
	copy(d[:], decoded)
	return nil
}

// ID identifies one claim. It is unique: an incarnation never uses a serial
// twice, and a restarted agent has a new incarnation.
type ID struct {
	Incarnation string
	Serial      int64
}

// Kind is the kind of an Op.
type Kind string

// Kinds of Op.
const (
	KindClaim      Kind = "claim"   // asks to run the call of a key
	KindRelease    Kind = "release" // states that a claim has not run its call and never will
	KindAnswer     Kind = "answer"  // records the answer of the run
	KindUnanswered Kind = "unknown" // states that the call was sent and no answer came
)

// Op is one operation on a claim.
type Op struct {
	Kind        Kind        `json:"kind"`
	Key         Key         `json:"key"`
	Serial      int64       `json:"serial"` // of the claim
	Fingerprint Fingerprint `json:"fingerprint,omitzero"`
	Answer      *Answer     `json:"answer,omitempty"`
}

// Header is one header field of an answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is the answer that the service gave to the one run of a key.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	Dropped bool     `json:"dropped,omitempty"` // headers and body are no longer kept
	// Unframed is set if the service marked no end of the body, which may be cut.
	Unframed bool `json:"unframed,omitempty"`
}

// Batch is one record of the stream: ops of one incarnation.
type Batch struct {
	Target      string `json:"target"`          // of the agent
	Incarnation string `json:"incarnation"`     // of the agent
	Start       bool   `json:"start,omitempty"` // the incarnation has just started
	StampMS     int64  `json:"stamp_ms"`        // when the agent made the batch, by its clock, in Unix milliseconds
	Ops         []Op   `json:"ops,omitempty"`
}

// Encode returns the record that holds the batch.
func (b Batch) Encode() ([]byte, error) {
	data, err := json.Marshal(b)
	return data, errors.Wrap(err, "encode claims")
}

// DecodeBatch parses a record. Unknown fields are ignored.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&b); err != nil {
		return Batch{}, errors.Wrap(err, "decode claims")
	}
	return b, nil
}
