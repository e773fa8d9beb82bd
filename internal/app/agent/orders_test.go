package agent

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	standin "quetzalbend/internal/app/standin/engine"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/wire"
)

// catalogAt returns a catalog in which target t1 serves model m and failure domain
// a, to which t1 belongs, has the given state.
func catalogAt(offset int64, domainState string) *catalog.Catalog {
	return catalog.Build(settings.NewSnapshot(offset, []settings.Entry{
		{Path: "/domains/a", Version: 1, Value: []byte(`{"state":"` + domainState + `"}`)},
		{Path: "/teams/t", Version: 1, Value: []byte(`{"share":1}`)},
		{Path: "/teams/t/models/m", Version: 1, Value: []byte(`{"versions":["7"]}`)},
		{Path: "/targets/t1", Version: 1, Value: []byte(`{"agent":"127.0.0.1:1","failure_domain":"a","kind":"model","team":"t","serves":["m"]}`)},
	}))
}

func TestEngineGetsOrdersFromTheSettings(t *testing.T) {
	engine := standin.New(standin.Config{})
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	agent, _ := runAgent(t, Config{Engine: server.URL, OrderLifeMS: 1})
	agent.applyCatalog(catalogAt(12, "in"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, order := range engine.Truth().Orders {
			if order == (standin.Order{Fencing: 12, Kind: "load_model", Name: "m", Version: "7"}) {
				return poll.Success()
			}
		}
		return poll.Continue("%v", engine.Truth().Orders)
	}, poll.WithDelay(5*time.Millisecond))
}

func TestTargetOfDomainTakenOutGetsNoWork(t *testing.T) {
	engine := standin.New(standin.Config{})
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	agent, _ := runAgent(t, Config{Engine: server.URL})
	agent.applyCatalog(catalogAt(12, "out"))
	last, _ := lastFrame(t, openCall(t, agent, modelCall()))
	assert.Equal(t, last.GetRefused().GetReason(), reasonLeaving)
	agent.applyCatalog(catalogAt(13, "in"))
	last, _ = lastFrame(t, openCall(t, agent, modelCall()))
	assert.Assert(t, last.GetFinal() != nil, "%v", last)
	assert.Equal(t, engine.Truth().Requests, 1)
}

func TestStreamsOfDomainTakenOutAreCancelledAfterGraceTime(t *testing.T) {
	engine := standin.New(standin.Config{BetweenTokensMS: 20, Warm: true})
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	agent, _ := runAgent(t, Config{Engine: server.URL, GraceMS: 50})
	call := modelCall()
	call.GetModel().Body = []byte(`{"max_tokens":1000}`)
	stream := openCall(t, agent, call)
	for frame := new(wire.AnswerFrame); frame.GetChunk() == nil; {
		assert.NilError(t, stream.Receive(frame))
	}
	agent.applyCatalog(catalogAt(12, "out"))
	for {
		frame := &wire.AnswerFrame{}
		assert.NilError(t, stream.Receive(frame))
		if frame.GetFailed() != nil {
			assert.Equal(t, frame.GetFailed().GetReason(), reasonLeaving)
			break
		}
	}
	agent.applyCatalog(catalogAt(13, "in"))
	last, _ := lastFrame(t, openCall(t, agent, modelCall()))
	assert.Assert(t, last.GetFinal() != nil, "%v", last)
}

func TestRefusedCallIsKnownNotToHaveRun(t *testing.T) {
	calls := newOutcomes()
	calls.begin("r")
	serving, notRun := calls.ask("r")
	assert.Assert(t, serving && !notRun)
	calls.end("r", true)
	serving, notRun = calls.ask("r")
	assert.Assert(t, !serving && notRun)
	calls.begin("r") // the same request again
	_, notRun = calls.ask("r")
	assert.Assert(t, !notRun)
	calls.end("r", false)
	for i := range 2 * rememberedRefusals {
		id := string(rune('a' + i%26))
		calls.begin(id)
		calls.end(id, true)
	}
	assert.Assert(t, len(calls.order) <= rememberedRefusals)
}
