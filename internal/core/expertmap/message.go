package expertmap

import (
	"encoding/json"

	"github.com/pkg/errors"

	"quetzalbend/internal/wire"
)

// Kind is the kind of a message.
type Kind string

// Kinds of requests, and of the answers to them. An answer's comment names the
// requests that it answers. The values are sent on the wire and stay as they
// are, even where they differ from the Go name.
const (
	KindHello   Kind = "hello"
	KindPrepare Kind = "prepare"
	KindStage   Kind = "stage"
	KindHold    Kind = "hold"
	KindConfirm Kind = "confirm"
	KindDecide  Kind = "decide"

	KindState     Kind = "state"    // to hello
	KindPromise   Kind = "promise"  // to prepare
	KindStaged    Kind = "staged"   // to stage
	KindHeld      Kind = "held"     // to hold
	KindTooLate   Kind = "too-late" // to hold: the step has run, or the instance is over
	KindConfirmed Kind = "stands"   // to confirm
	KindFollowed  Kind = "followed" // to decide
	// KindNotFollowed answers a decide request whose decision the engine cannot
	// follow.
	KindNotFollowed      Kind = "not-followed"
	KindRefused          Kind = "refused" // to any: the promise given forbids the request
	KindWrongIncarnation Kind = "unknown" // to any: meant for another incarnation
)

// Message is one message between a coordinator and an acceptor.
type Message struct {
	Kind            Kind
	From, To        int
	FromIncarnation string
	ToIncarnation   string
	Ballot          Ballot
	Body            Body
}

// Body holds the fields that only some kinds of messages need.
type Body struct {
	Map      *Map         `json:"map,omitempty"`
	Hold     *Hold        `json:"hold,omitempty"`
	Decision *Decision    `json:"decision,omitempty"`
	State    *EngineState `json:"state,omitempty"`
	Promised Ballot       `json:"promised,omitempty"`
}

// Encode returns the wire form of a message.
func Encode(group string, m Message) (*wire.MapMessage, error) {
	payload, err := json.Marshal(m.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s message", m.Kind)
	}
	return &wire.MapMessage{
		Group:           group,
		FromRank:        int32(m.From),
		ToRank:          int32(m.To),
		ToIncarnation:   m.ToIncarnation,
		FromIncarnation: m.FromIncarnation,
		Ballot:          int64(m.Ballot),
		Payload:         payload,
		Kind:            string(m.Kind),
	}, nil
}

// Decode parses the wire form of a message. Unknown fields are ignored.
func Decode(w *wire.MapMessage) (Message, error) {
	m := Message{
		Kind:            Kind(w.GetKind()),
		From:            int(w.GetFromRank()),
		To:              int(w.GetToRank()),
		FromIncarnation: w.GetFromIncarnation(),
		ToIncarnation:   w.GetToIncarnation(),
		Ballot:          Ballot(w.GetBallot()),
	}
	if len(w.GetPayload()) == 0 {
		return m, nil
	}
	if err := json.Unmarshal(w.GetPayload(), &m.Body); err != nil {
		return Message{}, errors.Wrapf(err, "decode %s message of rank %d", m.Kind, m.From)
	}
	return m, nil
}
