package agent

import (
	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/adapter/engine"
	"quetzalbend/internal/adapter/service"
	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/wire"
)

const (
	// aheadBytes of each answer are reserved before its call is run.
	aheadBytes = 16 << 10
	// callCopies is how often a call is held while it runs: as received, and as sent to the
	// target.
	callCopies     = 2
	noMemoryDetail = "no memory for the call"
)

// holding is what a call and its answer hold of the agent's memory.
type holding struct{ call, answer *memory.Reservation }

func (a *Agent) newHolding() *holding {
	return &holding{call: a.memory.Reserve(), answer: a.memory.Reserve()}
}

// reserveCall reserves the memory of a call and reports whether there is any.
func (h *holding) reserveCall(call *wire.Call) bool {
	return h.call.TryGrow(int64(callCopies * proto.Size(call)))
}

// reserveAnswer reserves memory for the beginning of the answer, and reports whether
// there is any.
func (a *Agent) reserveAnswer(h *holding) bool {
	head := int64(service.HeadBytes)
	if a.engine != nil {
		head = engine.HeadBytes
	}
	reserved, allowed := a.memory.ReserveAnswer(head, aheadBytes)
	h.answer = reserved
	return allowed
}

func (h *holding) release() {
	h.call.Release()
	h.answer.Release()
}

// refuseForMemory tells the entry that the call did not run, since the agent has no memory
// for it.
func (a *Agent) refuseForMemory(call *wire.Call, out *answerWriter) error {
	return a.refuse(call, out, &wire.Refused{Reason: reasonBusy, Detail: noMemoryDetail})
}
