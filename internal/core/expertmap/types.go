package expertmap

import (
	"context"
	"hash/fnv"
)

// Ballot orders the attempts of coordinators. The upper 32 bits are a round
// number, the lower 32 bits a hash of the coordinator's incarnation.
type Ballot int64

// roundShift is the number of ballot bits below the round number.
const roundShift = 32

// NextBallot returns a ballot for an agent's incarnation that is higher than
// the given ballot.
func NextBallot(highestSeen Ballot, incarnation string) Ballot {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(incarnation))
	return (highestSeen>>roundShift+1)<<roundShift | Ballot(hash.Sum32())
}

// Map is a version of the expert map. The protocol does not interpret its
// payload.
type Map struct {
	Version int64  `json:"version"`
	Payload []byte `json:"payload,omitempty"`
}

// Hold asks an engine not to run step Step without a decision on Instance.
type Hold struct {
	Instance int64 `json:"instance"`
	Step     int64 `json:"step"`
	Version  int64 `json:"version"`       // of the next map
	Now      bool  `json:"now,omitempty"` // stop at once, before a new epoch
}

// Decision ends an instance. If Activate is set, the engine uses Map from Step
// on; otherwise the instance is cancelled and the old map stays in use.
type Decision struct {
	Instance int64 `json:"instance"`
	Activate bool  `json:"activate"`
	Map      Map   `json:"map"`
	Step     int64 `json:"step"`
	Epoch    int64 `json:"epoch"` // epoch of the group from Step on
}

// EngineState is the state that an engine reports. It survives a restart of the
// agent.
type EngineState struct {
	Incarnation string   `json:"incarnation"`
	Epoch       int64    `json:"epoch"` // 0 before its first epoch
	Step        int64    `json:"step"`  // next step to run
	Current     Map      `json:"current"`
	Last        Decision `json:"last"` // last decision that the engine followed
	Held        *Hold    `json:"held,omitempty"`
	Staged      int64    `json:"staged"` // version of the staged map
}

// Engine is one rank's engine. Each order carries the ballot as a fencing
// token, which some engines check and others ignore.
type Engine interface {
	// State reads the engine's state.
	State(ctx context.Context) (EngineState, error)
	// Fence makes an engine that checks fencing tokens refuse lower ones.
	Fence(ctx context.Context, fencing Ballot) error
	// Stage loads the weights of the next map while the current map stays in
	// use.
	Stage(ctx context.Context, fencing Ballot, next Map) error
	// Hold places a hold, which replaces an earlier one for the same instance.
	// It reports false if the step has already run or the instance is over.
	Hold(ctx context.Context, fencing Ballot, hold Hold) (bool, error)
	// Follow carries out a decision. It reports false if the decision activates
	// a map and the engine has no hold for the same instance.
	Follow(ctx context.Context, fencing Ballot, decision Decision) (bool, error)
}
