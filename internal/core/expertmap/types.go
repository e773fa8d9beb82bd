package expertmap

import (
	"context"
	"hash/fnv"
)

// Ballot orders coordinators: a round in the upper half, a mark of the
// coordinator's incarnation in the lower.
type Ballot int64

// roundShift is the number of bits below the round.
const roundShift = 32

// NextBallot returns a ballot of an agent's incarnation that is above seen.
func NextBallot(seen Ballot, incarnation string) Ballot {
	mark := fnv.New32a()
	_, _ = mark.Write([]byte(incarnation))
	return (seen>>roundShift+1)<<roundShift | Ballot(mark.Sum32())
}

// Map is an expert map; its content is opaque here.
type Map struct {
	Version int64  `json:"version"`
	Payload []byte `json:"payload,omitempty"`
}

// Hold asks an engine not to run step Step without a decision on Instance.
type Hold struct {
	Instance int64 `json:"instance"`
	Step     int64 `json:"step"`
	Version  int64 `json:"version"`       // map that is to follow
	Now      bool  `json:"now,omitempty"` // stop at once: a new epoch is to start
}

// Decision ends an instance: Activate uses Map from Step on, otherwise the
// instance is cancelled and the old map stays.
type Decision struct {
	Instance int64 `json:"instance"`
	Activate bool  `json:"activate"`
	Map      Map   `json:"map"`
	Step     int64 `json:"step"`
	Epoch    int64 `json:"epoch"` // epoch that the group is in from then on
}

// EngineState is what an engine tells of itself. It outlives the agent.
type EngineState struct {
	Incarnation string   `json:"incarnation"`
	Epoch       int64    `json:"epoch"` // 0 before its first epoch
	Step        int64    `json:"step"`  // next step to run
	Current     Map      `json:"current"`
	Last        Decision `json:"last"` // last decision that it followed
	Held        *Hold    `json:"held,omitempty"`
	Staged      int64    `json:"staged"` // version of the staged map
}

// Engine is one rank's engine. Orders carry the ballot as fencing number, which
// some engines check and others ignore.
type Engine interface {
	// State reads the engine's state back.
	State(ctx context.Context) (EngineState, error)
	// Fence makes an engine that checks fencing numbers refuse lower ones.
	Fence(ctx context.Context, fencing Ballot) error
	// Stage loads the weights of a map beside the present ones.
	Stage(ctx context.Context, fencing Ballot, next Map) error
	// Hold takes a hold in, in place of an earlier one for the same instance.
	// It reports false if the step has already run or the instance is over.
	Hold(ctx context.Context, fencing Ballot, hold Hold) (bool, error)
	// Follow carries out a decision. To activate, a hold of the same instance
	// must stand. It reports false if that is not so.
	Follow(ctx context.Context, fencing Ballot, decision Decision) (bool, error)
}
