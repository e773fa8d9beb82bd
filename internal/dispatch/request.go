package dispatch

import (
	"time"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/wire"
)

// Request is one request of a caller. Exactly one of Model and Service is set.
type Request struct {
	ID          string
	Team        string
	Account     string
	Class       schema.Class
	Priority    int32
	Deadline    time.Time
	Fingerprint string   // see strike.Fingerprint
	Affinity    string   // hash of the prompt's prefix
	SharedParts []string // hashes of the parts of the prompt that other requests may have as well
	Model       *wire.ModelCall
	Service     *wire.ServiceCall
	Memory      *memory.Reservation // for the answer; nil: unlimited
}

// repeatable reports whether the request may run more than once.
func (r *Request) repeatable() bool { return r.Model != nil || r.Service.Idempotent }

func (r *Request) streamed() bool { return r.Model != nil && r.Model.Stream }

// name returns the name of the model or service that is called.
func (r *Request) name() catalog.TeamName {
	if r.Model != nil {
		return catalog.TeamName{Team: r.Team, Name: r.Model.Model}
	}
	return catalog.TeamName{Team: r.Team, Name: r.Service.Service}
}

// Answer is a complete answer.
type Answer struct {
	Streamed bool // written to the StreamWriter; Headers and Body are empty
	Status   int
	Headers  []*wire.Header
	Body     []byte
	Unframed bool  // the target marked no end of the body, which may be cut
	Tokens   int64 // model calls: tokens generated
	Replayed bool  // answer of an earlier run under the same key
	Target   string
	Attempts int
	Queued   int // requests that waited at the target when this one ended
}
