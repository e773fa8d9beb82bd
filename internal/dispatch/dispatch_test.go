package dispatch

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/wire"
)

func TestWholeAnswer(t *testing.T) {
	f := newFixture(t, answersWhole("abc"))
	answer, _, failure := f.do(modelRequest(false))
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, string(answer.Body), "abc")
	assert.Equal(t, answer.Tokens, int64(3))
}

func TestBrokenStreamResumesAtAnotherTargetWithEachTokenOnce(t *testing.T) {
	broken := func(open *wire.Open) ([]proto.Message, error) {
		return frames(tokenBodies("abcdef", open.GetCall().GetModel().GetResumePosition(), 2)...), io.ErrUnexpectedEOF
	}
	f := newFixture(t, broken, answersWhole("abcdef"))
	f.avoidSecond()
	answer, text, failure := f.do(modelRequest(true))
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, text, "abcdef")
	assert.Equal(t, answer.Attempts, 2)
	assert.Equal(t, f.links.calls[1].GetModel().GetResumePosition(), int64(2))
}

// An error head must not follow the tokens that the caller has.
func TestErrorOfAResumptionIsNotWrittenIntoTheStream(t *testing.T) {
	broken := func(open *wire.Open) ([]proto.Message, error) {
		return frames(tokenBodies("abcdef", open.GetCall().GetModel().GetResumePosition(), 2)...), io.ErrUnexpectedEOF
	}
	failing := answersWith(&wire.Admitted{}, &wire.Head{Status: 500}, &wire.Chunk{Data: []byte("engine failed"), Position: 2}, &wire.Final{Frames: 1, Bytes: 13})
	f := newFixture(t, broken, failing)
	f.avoidSecond()
	answer, text, failure := f.do(modelRequest(true))
	assert.Assert(t, failure != nil && failure.Streaming, "complete: %+v", answer)
	assert.Equal(t, text, "ab")
}

// avoidSecond makes the first pick choose a target other than that of the second agent.
func (f *fixture) avoidSecond() {
	pool := f.table.Model(modelRequest(false).name())
	for _, member := range pool.Near {
		if member.Target.Agent == "a1" {
			member.State.Begin()
		}
	}
	f.dispatcher.cfg.Random = func() uint64 { return 1 << 32 }
}

func TestStalledStreamResumesAtAnotherTarget(t *testing.T) {
	stalled := func(*wire.Open) ([]proto.Message, error) { return frames(tokenBodies("abcdef", 0, 3)...), nil }
	f := newFixture(t, stalled, answersWhole("abcdef"))
	f.dispatcher.cfg.StallTimeout = 20 * time.Millisecond
	f.dispatcher.cfg.FirstFrameTimeout = 20 * time.Millisecond
	f.avoidSecond()
	_, text, failure := f.do(modelRequest(true))
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, text, "abcdef")
}

func TestUnreachableTargetIsNotChargedToTheBudget(t *testing.T) {
	f := newFixture(t, nil, nil, answersWhole("abc"))
	_, _, failure := f.do(modelRequest(false))
	assert.Assert(t, failure == nil, "%v", failure)
}

func TestRequestIsNotRunIfNoAgentIsReachable(t *testing.T) {
	f := newFixture(t, nil, nil)
	_, _, failure := f.do(modelRequest(false))
	assert.Equal(t, failure.Code, CodeUnreachable)
	assert.Equal(t, failure.Ran, wire.Ran_RAN_NO)
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	f := newFixture(t, refuses, refuses, refuses, refuses)
	const requests = 500
	for range requests {
		_, _, failure := f.do(modelRequest(false))
		assert.Equal(t, failure.Code, reasonBusy)
		assert.Equal(t, failure.Ran, wire.Ran_RAN_NO)
		assert.Equal(t, failure.RetryAfter, 1500*time.Millisecond)
	}
	assert.Assert(t, len(f.links.calls) <= requests*11/10, "%d attempts", len(f.links.calls))
	assert.Assert(t, len(f.links.calls) > requests, "%d attempts", len(f.links.calls))
}

func TestCallThatMayNotBeRepeatedIsSentOnceAndItsOutcomeQueried(t *testing.T) {
	asked := 0
	broken := func(open *wire.Open) ([]proto.Message, error) {
		if open.GetCall() != nil {
			return frames(&wire.Admitted{}), io.EOF
		}
		asked++
		if asked == 1 {
			return []proto.Message{&wire.Outcome{Running: true}}, io.EOF
		}
		return []proto.Message{&wire.Outcome{Ran: wire.Ran_RAN_YES, Head: &wire.Head{Status: 201}, Body: []byte("done")}}, io.EOF
	}
	f := newFixture(t, broken, broken, broken)
	answer, _, failure := f.do(serviceRequest())
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, answer.Status, 201)
	assert.Equal(t, string(answer.Body), "done")
	assert.Equal(t, len(f.links.calls), 1)
}

func TestOutcomeOfCallThatMayNotBeRepeatedIsUnknownWhenNoAgentAnswers(t *testing.T) {
	silent := func(open *wire.Open) ([]proto.Message, error) { return nil, io.EOF }
	f := newFixture(t, silent, silent)
	_, _, failure := f.doWithin(serviceRequest(), 30*time.Millisecond)
	assert.Equal(t, failure.Code, CodeOutcomeUnknown)
	assert.Equal(t, failure.Ran, wire.Ran_RAN_UNKNOWN)
	assert.Equal(t, len(f.links.calls), 1)
}

func TestCallThatMayNotBeRepeatedIsNotRepeatedAfterAFailure(t *testing.T) {
	fails := answersWith(&wire.Admitted{}, &wire.Failed{Ran: wire.Ran_RAN_YES, Reason: "answer_lost", TargetDied: true})
	f := newFixture(t, fails, fails)
	_, _, failure := f.do(serviceRequest())
	assert.Equal(t, failure.Code, "answer_lost")
	assert.Equal(t, failure.Ran, wire.Ran_RAN_YES)
	assert.Equal(t, len(f.links.calls), 1)
}

func TestRequestThatKillsTargetsIsRefusedAfterTwo(t *testing.T) {
	dies := answersWith(&wire.Admitted{}, &wire.Failed{Reason: "target_died", TargetDied: true})
	f := newFixture(t, dies, dies, dies, dies)
	_, _, failure := f.do(modelRequest(false))
	assert.Equal(t, failure.Code, CodeCrashesTargets)
	assert.Equal(t, len(f.links.calls), 2)
	assert.Equal(t, f.links.calls[0].GetSuspect(), false)
	assert.Equal(t, f.links.calls[1].GetSuspect(), true)

	_, _, failure = f.do(modelRequest(false))
	assert.Equal(t, failure.Code, CodeCrashesTargets)
	assert.Equal(t, failure.Ran, wire.Ran_RAN_NO)
	assert.Equal(t, len(f.links.calls), 2)
}

func TestSuspectRequestIsClearedByAWholeAnswer(t *testing.T) {
	f := newFixture(t, answersWhole("abc"))
	f.strikes.Strike("print", 2, time.Now())
	for i, suspect := range []bool{true, false} {
		_, _, failure := f.do(modelRequest(false))
		assert.Assert(t, failure == nil, "%v", failure)
		assert.Equal(t, f.links.calls[i].GetSuspect(), suspect)
	}
}

func TestDeadlineCancelsTheCallAtTheAgent(t *testing.T) {
	silent := func(*wire.Open) ([]proto.Message, error) { return frames(&wire.Admitted{}), nil }
	f := newFixture(t, silent)
	_, _, failure := f.doWithin(modelRequest(false), 10*time.Millisecond)
	assert.Equal(t, failure.Code, CodeDeadline)
	assert.Equal(t, failure.Ran, wire.Ran_RAN_UNKNOWN)
	assert.Equal(t, f.links.sent[0].(*wire.CallerFrame).GetCancel(), true)
}

func TestDisconnectedCallerCancelsTheCallAtTheAgent(t *testing.T) {
	silent := func(*wire.Open) ([]proto.Message, error) { return frames(&wire.Admitted{}), nil }
	f := newFixture(t, silent)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	req := modelRequest(true)
	req.Deadline = time.Now().Add(time.Minute)
	_, err := f.dispatcher.Do(ctx, f.table, req, &collector{})
	failure, _ := AsFailure(err)
	assert.Equal(t, failure.Code, CodeCallerGone)
	assert.Equal(t, f.links.sent[0].(*wire.CallerFrame).GetCancel(), true)
}

func TestSilentTargetIsAvoidedForAWhile(t *testing.T) {
	silent := func(*wire.Open) ([]proto.Message, error) { return nil, nil }
	f := newFixture(t, silent, answersWhole("abc"))
	f.dispatcher.cfg.FirstFrameTimeout = 10 * time.Millisecond
	f.dispatcher.cfg.AvoidPeriod = time.Minute
	f.avoidSecond()
	for range 5 {
		_, _, failure := f.do(modelRequest(false))
		assert.Assert(t, failure == nil, "%v", failure)
	}
	assert.Equal(t, len(f.links.calls), 6)
}

func TestBrokenStreamIsResumedAfterTargetsRestart(t *testing.T) {
	calls := 0
	restarting := func(open *wire.Open) ([]proto.Message, error) {
		calls++
		from := open.GetCall().GetModel().GetResumePosition()
		switch {
		case calls == 1:
			return frames(tokenBodies("abcdef", 0, 2)...), io.EOF
		case calls < 5:
			return frames(&wire.Refused{Reason: reasonTargetRefused}), io.EOF
		}
		return frames(tokenBodies("abcdef", from, 6)...), io.EOF
	}
	f := newFixture(t, restarting, restarting)
	_, text, failure := f.do(modelRequest(true))
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, text, "abcdef")
}

func TestOutcomeNotYetKnownToOtherAgentsIsAwaited(t *testing.T) {
	asked := 0
	other := func(open *wire.Open) ([]proto.Message, error) {
		if open.GetCall() != nil {
			return frames(&wire.Admitted{}), io.EOF
		}
		asked++
		if asked < 4 {
			return []proto.Message{&wire.Outcome{Ran: wire.Ran_RAN_UNKNOWN}}, io.EOF
		}
		return []proto.Message{&wire.Outcome{Ran: wire.Ran_RAN_YES, Head: &wire.Head{Status: 200}, Body: []byte("done")}}, io.EOF
	}
	f := newFixture(t, other, other)
	f.dispatcher.cfg.UnknownTimeout = time.Minute
	answer, _, failure := f.do(serviceRequest())
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, string(answer.Body), "done")
}

// An admitted call may take longer than the timeout of the first frame: an answer
// that is not streamed until the caller's deadline, and a stream until it stalls.
func TestAdmittedCallMayExceedTheFirstFrameTimeout(t *testing.T) {
	for _, stream := range []bool{false, true} {
		admits := func(*wire.Open) ([]proto.Message, error) { return frames(&wire.Admitted{}), nil }
		f := newFixture(t, admits, admits)
		f.dispatcher.cfg.FirstFrameTimeout = 20 * time.Millisecond
		_, _, failure := f.doWithin(modelRequest(stream), 200*time.Millisecond)
		assert.Equal(t, failure.Code, CodeDeadline)
		assert.Equal(t, len(f.links.calls), 1, "stream %t", stream)
	}
}

func TestQueuedStreamIsNotTreatedAsStalled(t *testing.T) {
	queued := func(*wire.Open) ([]proto.Message, error) { return frames(&wire.Admitted{}), nil }
	f := newFixture(t, queued, queued)
	f.dispatcher.cfg.StallTimeout = 50 * time.Millisecond
	_, _, failure := f.doWithin(modelRequest(true), 3*50*time.Millisecond)
	assert.Equal(t, failure.Code, CodeDeadline)
	assert.Equal(t, len(f.links.calls), 1)
}

func TestCallUnknownToAllAgentsIsResentUnderItsKey(t *testing.T) {
	unknownCall := func(open *wire.Open) ([]proto.Message, error) {
		if open.GetCall() != nil {
			return nil, io.EOF
		}
		return []proto.Message{&wire.Outcome{Ran: wire.Ran_RAN_UNKNOWN}}, io.EOF
	}
	calls := 0
	agent := func(open *wire.Open) ([]proto.Message, error) {
		if open.GetCall() != nil {
			calls++
		}
		if calls > 1 {
			return frames(&wire.Admitted{}, &wire.Head{Status: 201}, &wire.Final{}), io.EOF
		}
		return unknownCall(open)
	}
	f := newFixture(t, agent, agent)
	answer, _, failure := f.do(serviceRequest())
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, answer.Status, 201)
	assert.Equal(t, len(f.links.calls), 2)
	for _, call := range f.links.calls {
		assert.Equal(t, call.GetService().GetIdempotencyKey(), "key")
	}
}

func TestRefusedRepeatLeavesTheOutcomeUnknown(t *testing.T) {
	calls := 0
	agent := func(open *wire.Open) ([]proto.Message, error) {
		if open.GetCall() == nil {
			return []proto.Message{&wire.Outcome{Ran: wire.Ran_RAN_UNKNOWN}}, io.EOF
		}
		calls++
		if calls == 1 {
			return nil, io.EOF
		}
		return frames(&wire.Refused{Reason: "platform_unavailable"}), io.EOF
	}
	f := newFixture(t, agent, agent)
	_, _, failure := f.do(serviceRequest())
	assert.Equal(t, failure.Ran, wire.Ran_RAN_UNKNOWN)
}

// Requests that share a message, no two alike, kill each target that begins to answer
// them. Others share their first message.
func TestMessageThatKillsTargetsIsRefusedAndOthersAreServed(t *testing.T) {
	now := time.Now()
	deaths := 0
	targets := func(open *wire.Open) ([]proto.Message, error) {
		if !strings.HasPrefix(open.GetCall().GetFingerprint(), "bad") {
			return answersWhole("abc")(open)
		}
		deaths++
		return answersWith(&wire.Admitted{}, &wire.Failed{Reason: "target_died", TargetDied: true})(open)
	}
	f := newFixture(t, targets, targets, targets, targets)
	f.dispatcher.cfg.Now = func() time.Time { return now }
	var failure *Failure
	for i := range 20 {
		bad := modelRequest(true)
		bad.Fingerprint = fmt.Sprint("bad", i)
		bad.SharedParts = []string{"first", "bad"}
		_, _, failure = f.do(bad)
		now = now.Add(2 * time.Second)
		sound := modelRequest(true)
		sound.SharedParts = []string{"first", "other"}
		_, _, soundFailure := f.do(sound)
		assert.Assert(t, soundFailure == nil, "%v", soundFailure)
	}
	assert.Equal(t, failure.Code, CodePartCrashes)
	assert.Assert(t, deaths <= 6, "%d targets died", deaths)
}

// The answer of a target that stops after its head looks like an empty one.
func TestLookupIsSentElsewhereAfterAnEmptyAnswerWithoutAMarkedEnd(t *testing.T) {
	empty := answersWith(&wire.Admitted{}, &wire.Head{Status: 200, Unframed: true}, &wire.Final{})
	whole := answersWith(&wire.Admitted{}, &wire.Head{Status: 200}, &wire.Chunk{Data: []byte("whole")}, &wire.Final{Frames: 1, Bytes: 5})
	marked := answersWith(&wire.Admitted{}, &wire.Head{Status: 200}, &wire.Final{})
	failing := answersWith(&wire.Admitted{}, &wire.Failed{Reason: reasonAnswerCut, Ran: wire.Ran_RAN_YES})
	for name, test := range map[string]struct {
		first, others agent
		idempotent    bool
		calls         int
		body          string
	}{
		"another answers":     {empty, whole, true, 2, "whole"},
		"another is empty":    {empty, empty, true, 2, ""},
		"another fails":       {empty, failing, true, 2, ""},
		"another refuses":     {empty, refuses, true, 2, ""},
		"no other":            {empty, nil, true, 1, ""},
		"end is marked":       {marked, whole, true, 1, ""},
		"may not be repeated": {empty, whole, false, 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			answered := 0
			inTurn := func(open *wire.Open) ([]proto.Message, error) {
				answered++
				if answered == 1 {
					return test.first(open)
				}
				return test.others(open)
			}
			agents := []agent{inTurn, inTurn, inTurn}
			if test.others == nil {
				agents = agents[:1]
			}
			f := newFixture(t, agents...)
			request := serviceRequest()
			request.Service.Idempotent = test.idempotent
			answer, _, failure := f.do(request)
			assert.Assert(t, failure == nil, "%v", failure)
			assert.Equal(t, answer.Status, 200)
			assert.Equal(t, string(answer.Body), test.body)
			assert.Equal(t, len(f.links.calls), test.calls)
		})
	}
}

// The caller must know no less than the agent of an answer that may be cut.
func TestAnswerWithoutAMarkedEndStaysSo(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		head := &wire.Head{Status: 200, Unframed: unframed}
		whole := answersWith(&wire.Admitted{}, head, &wire.Chunk{Data: []byte("half")}, &wire.Final{Frames: 1, Bytes: 4})
		lost := func(open *wire.Open) ([]proto.Message, error) {
			if open.GetCall() != nil {
				return frames(&wire.Admitted{}), io.EOF
			}
			return []proto.Message{&wire.Outcome{Ran: wire.Ran_RAN_YES, Head: head, Body: []byte("half")}}, io.EOF
		}
		for name, agent := range map[string]agent{"answered": whole, "asked for": lost} {
			f := newFixture(t, agent)
			answer, _, failure := f.do(serviceRequest())
			assert.Assert(t, failure == nil, "%s: %v", name, failure)
			assert.Equal(t, string(answer.Body), "half")
			assert.Equal(t, answer.Unframed, unframed, name)
		}
	}
}
