package agent

import (
	"io"
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/wire"
)

// recorder keeps the frames of one answer.
type recorder struct{ frames []*wire.AnswerFrame }

func (r *recorder) Send(m proto.Message) error {
	r.frames = append(r.frames, proto.CloneOf(m.(*wire.AnswerFrame)))
	return nil
}

// FuzzCall runs arbitrary calls on an agent. Each must be answered with frames in
// sequence, of which only the last one ends the answer.
func FuzzCall(f *testing.F) {
	url := fakeEngine(f, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, wholeStream+"data: [DONE]\n\n")
	})
	config := Config{Engine: url, Name: "t1", FailureDomain: "a", Listen: "127.0.0.1:0", HTTPListen: "127.0.0.1:0"}
	Check(&config)
	agent, err := New(config)
	assert.NilError(f, err)
	go agent.followLoad(f.Context())
	seeds := []*wire.Call{
		modelCall(),
		{},
		{RequestId: "r", Work: &wire.Call_Model{}},
		{RequestId: "r", DeadlineMs: -1 << 63, Priority: -1, Suspect: true, Work: &wire.Call_Model{Model: &wire.ModelCall{Body: []byte("{"), ResumePosition: -1}}},
		{RequestId: "r", Incarnation: "another", Work: &wire.Call_Service{Service: &wire.ServiceCall{Service: "s"}}},
	}
	for _, seed := range seeds {
		data, err := proto.Marshal(seed)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		call := &wire.Call{}
		if proto.Unmarshal(data, call) != nil {
			return
		}
		record := &recorder{}
		ctx, cancel := agent.callContext(t.Context(), call)
		defer cancel()
		out := &answerWriter{stream: record, requestID: call.GetRequestId(), load: agent.load, holding: agent.newHolding()}
		defer out.holding.release()
		assert.NilError(t, agent.run(ctx, call, out))
		for i, frame := range record.frames {
			assert.Equal(t, frame.GetSequence(), int64(i))
			last := frame.GetFinal() != nil || frame.GetFailed() != nil || frame.GetRefused() != nil
			assert.Equal(t, last, i == len(record.frames)-1)
		}
		assert.Assert(t, len(record.frames) > 0)
		assert.Equal(t, agent.gate.view().Running, 0)
	})
}
