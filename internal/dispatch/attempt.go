package dispatch

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/retry"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/wire"
)

// finalFrameGrace is the time after the caller's deadline in which the agent may
// still report whether a call ran.
const finalFrameGrace = 200 * time.Millisecond

// firstTokenStallFactor is the timeout of the first token as a multiple of that of
// later tokens.
const firstTokenStallFactor = 4

// bufferGrowth is by how much a buffer grows that is too small for an answer.
const bufferGrowth = 2

// claimFirstFrameFactor multiplies the first frame's timeout for a call that may
// not be repeated: its agent first claims the key in the platform's log.
const claimFirstFrameFactor = 3

// result is how one attempt ended: with an answer, or with a failed outcome.
type result struct {
	answer     *Answer
	outcome    retry.Outcome
	code       string
	ran        wire.Ran
	strikes    int  // against the request
	silent     bool // the target or the path to it does not respond
	permanent  bool // any other target would give the same result
	unanswered bool // the answer was not yet under way
	callerGone bool // the caller disconnected or its deadline passed
	retryAfter time.Duration
	err        error
}

// attempt is the state of one call to one agent.
type attempt struct {
	run           *run
	ctx           context.Context
	member        *routing.Member
	stream        Stream
	validator     frameValidator
	answered      bool // a target has begun to write the answer and went on
	admitted      bool
	startPosition int64  // tokens of earlier attempts
	relaying      bool   // chunks are written to the caller as they arrive
	trailing      []byte // data after the last token, held back until the answer is known to be complete
	answer        Answer
	deadlineSetAt time.Time     // when the stream's deadline was last set
	timeout       time.Duration // frame timeout for which it was set

	cancelled sync.Once
}

// attempt sends the request to one target and receives its answer. A suspect
// request is marked as such for the agent.
func (r *run) attempt(ctx context.Context, member *routing.Member, suspect bool) result {
	member.State.Begin()
	defer member.State.End()
	stream, err := r.d.cfg.Links.Open(ctx, member.Target.Agent, r.open(suspect))
	if err != nil {
		return r.openFailed(err)
	}
	defer func() { _ = stream.Close() }()
	a := &attempt{
		run:       r,
		ctx:       ctx,
		member:    member,
		stream:    stream,
		validator: frameValidator{requestID: r.req.ID, streamed: r.req.streamed(), position: r.position},
		relaying:  r.req.streamed(),

		startPosition: r.position,
		answer:        Answer{Status: http.StatusOK, Target: member.Target.Name},
	}
	stop := context.AfterFunc(ctx, a.interrupt)
	defer stop()
	ended := a.receive()
	a.discard(&a.trailing)
	if ended.answer == nil {
		a.discard(&a.answer.Body)
	}
	return ended
}

// openFailed returns the result of a stream that could not be opened.
func (r *run) openFailed(err error) result {
	failed := result{outcome: retry.NotSent, code: CodeUnreachable, err: err}
	if !r.d.cfg.Links.NotSent(err) {
		failed = result{outcome: retry.Broken, code: codeConnectionBroken, err: err}
	}
	return failed
}

func (r *run) open(suspect bool) *wire.Open {
	call := &wire.Call{
		RequestId:      r.req.ID,
		Team:           r.req.Team,
		Account:        r.req.Account,
		Class:          string(r.req.Class),
		Priority:       r.req.Priority,
		DeadlineMs:     r.req.Deadline.Sub(r.d.cfg.Now()).Milliseconds(),
		Fingerprint:    r.req.Fingerprint,
		Suspect:        suspect,
		SettingsOffset: r.table.Catalog().Offset,
		Entry:          r.d.cfg.Entry,
	}
	if r.req.Model == nil {
		call.Work = &wire.Call_Service{Service: r.req.Service}
	} else {
		r.req.Model.ResumePosition = r.position
		call.Work = &wire.Call_Model{Model: r.req.Model}
	}
	return &wire.Open{Purpose: &wire.Open_Call{Call: call}}
}

// cancel tells the agent that the answer is no longer needed.
func (a *attempt) cancel() {
	a.cancelled.Do(func() { _ = a.stream.Send(&wire.CallerFrame{Cancel: true}) })
}

// interrupt cancels the call when its context ends. If its deadline passed, the
// agent gets finalFrameGrace to report whether the call ran, since the caller is
// still connected.
func (a *attempt) interrupt() {
	a.cancel()
	_ = a.stream.SetDeadline(a.interruptedDeadline())
}

// interruptedDeadline returns the time until which the stream is read after its
// context has ended: the past if the caller disconnected.
func (a *attempt) interruptedDeadline() time.Time {
	if errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		return a.run.req.Deadline.Add(finalFrameGrace)
	}
	return time.Unix(1, 0)
}

func (a *attempt) receive() result {
	a.extendDeadline(a.frameTimeout())
	for {
		frame := &wire.AnswerFrame{}
		if err := a.stream.Receive(frame); err != nil {
			return a.receiveFailed(err)
		}
		if err := a.validator.validate(frame); err != nil {
			a.cancel()
			return a.broken(codeMalformedAnswer, err)
		}
		if load := frame.GetLoad(); load != nil {
			a.recordLoad(load)
		}
		if a.validator.position >= a.startPosition+answeredTokens {
			a.recordAnswered()
		}
		if ended, done := a.process(frame); done {
			return ended
		}
		a.extendDeadline(a.frameTimeout())
	}
}

// frameTimeout returns how long the next frame may take. An admitted call may have
// to wait in the target's queue before its first token.
func (a *attempt) frameTimeout() time.Duration {
	switch {
	case a.validator.nextSequence == 0 && !a.run.req.repeatable():
		return claimFirstFrameFactor * a.run.d.cfg.FirstFrameTimeout
	case a.validator.nextSequence == 0:
		return a.run.d.cfg.FirstFrameTimeout
	case !a.validator.tokenReceived:
		return firstTokenStallFactor * a.run.d.cfg.StallTimeout
	}
	return a.run.d.cfg.StallTimeout
}

// extendDeadline sets the time by which the next frame must arrive. Since it is
// called for every token, it skips the update if a deadline for the same timeout
// was set recently.
func (a *attempt) extendDeadline(timeout time.Duration) {
	now := a.run.d.cfg.Now()
	if timeout == a.timeout && now.Sub(a.deadlineSetAt) < timeout/4 {
		return
	}
	a.deadlineSetAt = now
	a.timeout = timeout
	until := a.run.req.Deadline.Add(finalFrameGrace)
	if a.relaying || a.validator.nextSequence == 0 {
		until = now.Add(timeout)
	}
	_ = a.stream.SetDeadline(until)
	if a.ctx.Err() != nil { // interrupt may have run before
		_ = a.stream.SetDeadline(a.interruptedDeadline())
	}
}

// recordLoad stores the load that the agent reported with a frame.
func (a *attempt) recordLoad(load *wire.Load) {
	report := routing.Report{
		Incarnation: load.GetIncarnation(),
		Running:     int(load.GetRunning()),
		Queued:      int(load.GetQueued()),
		Limit:       int(load.GetLimit()),
		Cold:        load.GetCold(),
		Leaving:     load.GetLeaving(),

		FirstTokenMS:    load.GetFirstTokenMs(),
		BetweenTokensMS: load.GetBetweenTokensMs(),
	}
	a.answer.Queued = report.Queued
	a.member.State.Observe(report, a.run.d.cfg.Now())
}

// process handles one valid frame and reports whether it ends the attempt.
func (a *attempt) process(frame *wire.AnswerFrame) (result, bool) {
	switch body := frame.GetBody().(type) {
	case *wire.AnswerFrame_Admitted:
		a.admitted = true
	case *wire.AnswerFrame_Refused:
		return a.refused(body.Refused), true
	case *wire.AnswerFrame_Head:
		return a.head(body.Head)
	case *wire.AnswerFrame_Chunk:
		return a.chunk(body.Chunk)
	case *wire.AnswerFrame_Final:
		return a.final(body.Final), true
	case *wire.AnswerFrame_Failed:
		return a.failed(body.Failed), true
	}
	return result{}, false
}

// head handles the head of an answer. An error head cannot follow the beginning of a
// stream, so it ends the attempt.
func (a *attempt) head(head *wire.Head) (result, bool) {
	a.answer.Status = int(head.GetStatus())
	a.answer.Headers = head.GetHeaders()
	a.answer.Unframed = head.GetUnframed()
	if a.answer.Status == http.StatusOK {
		return result{}, false
	}
	if a.run.started {
		a.cancel()
		err := errors.Errorf("status %d to a resumed stream", a.answer.Status)
		return result{outcome: retry.Failed, code: codeConnectionBroken, ran: wire.Ran_RAN_YES, err: err}, true
	}
	a.relaying = false
	return result{}, false
}

func (a *attempt) chunk(chunk *wire.Chunk) (result, bool) {
	if !a.relaying {
		return a.hold(&a.answer.Body, chunk.GetData())
	}
	if chunk.GetPosition() == a.run.position && a.run.position > 0 {
		return a.hold(&a.trailing, chunk.GetData())
	}
	// Data held back before a further token is not trailing: a resumed stream may begin
	// with a chunk that the caller already has.
	a.discard(&a.trailing)
	a.run.position = chunk.GetPosition()
	return a.write(chunk.GetData())
}

// hold adds a part of the answer to a buffer, for which it reserves the memory.
func (a *attempt) hold(buffer *[]byte, data []byte) (result, bool) {
	size, limit := len(*buffer)+len(data), a.run.d.cfg.AnswerBytes
	if size > limit {
		return a.cannotHold(CodeAnswerTooLarge)
	}
	if size > cap(*buffer) {
		size = min(max(bufferGrowth*cap(*buffer), size), limit)
		if !a.run.req.Memory.TryGrow(int64(size)) {
			return a.cannotHold(CodeNoMemory)
		}
		larger := append(make([]byte, 0, size), *buffer...)
		a.discard(buffer)
		*buffer = larger
	}
	*buffer = append(*buffer, data...)
	return result{}, false
}

func (a *attempt) cannotHold(code string) (result, bool) {
	a.cancel()
	return result{outcome: retry.Failed, code: code, ran: wire.Ran_RAN_YES, permanent: true}, true
}

// discard gives the memory of a buffer back.
func (a *attempt) discard(buffer *[]byte) {
	a.run.req.Memory.Shrink(int64(cap(*buffer)))
	*buffer = nil
}

// write writes a piece of a streamed answer to the caller.
func (a *attempt) write(data []byte) (result, bool) {
	a.run.started = true
	if err := a.run.out.Write(data); err != nil {
		a.cancel()
		return result{outcome: retry.Failed, code: CodeCallerGone, ran: wire.Ran_RAN_YES, callerGone: true, err: err}, true
	}
	return result{}, false
}

// answeredTokens is the number of tokens that show that a target goes on after the
// beginning of an answer.
const answeredTokens = 2

// recordAnswered records, once, that the target goes on with the answer.
func (a *attempt) recordAnswered() {
	if !a.answered {
		a.answered = true
		a.run.d.cfg.Poison.RecordAnswered(a.run.req.SharedParts, a.run.d.cfg.Now())
	}
}

func (a *attempt) final(final *wire.Final) result {
	a.recordAnswered()
	if len(a.trailing) > 0 {
		if ended, failed := a.write(a.trailing); failed {
			return ended
		}
	}
	a.answer.Streamed = a.relaying
	a.answer.Tokens = max(a.validator.position, final.GetTokens())
	a.answer.Replayed = final.GetReplayed()
	return result{answer: &a.answer}
}

func (a *attempt) refused(refused *wire.Refused) result {
	code := refused.GetReason()
	if code == "" {
		code = CodeRefusedByTarget
	}
	_, permanent := a.run.d.cfg.NoRetryCodes[code]
	outcome := retry.NotRunOther
	if NoCapacity(code) {
		outcome = retry.NotRunBusy
	}
	return result{
		outcome:    outcome,
		code:       code,
		permanent:  permanent,
		silent:     code == reasonTargetRefused || code == reasonTargetUnreachable,
		retryAfter: time.Duration(refused.GetRetryAfterMs()) * time.Millisecond,
		err:        detail(refused.GetDetail()),
	}
}

func (a *attempt) failed(failed *wire.Failed) result {
	ended := result{
		outcome: retry.Failed, code: failed.GetReason(), ran: failed.GetRan(),
		unanswered: !a.answered, err: detail(failed.GetDetail()),
	}
	switch {
	case failed.GetTargetDied():
		ended.strikes = strike.TargetDied
	case failed.GetReason() == reasonAnswerCut:
		ended.strikes = strike.AnswerCut
	}
	if failed.GetRan() == wire.Ran_RAN_NO && a.validator.chunks == 0 {
		ended.outcome = retry.NotRunOther
	}
	return ended
}

// receiveFailed returns the result of a stream that ended before its last frame.
func (a *attempt) receiveFailed(err error) result {
	if a.ctx.Err() != nil {
		a.cancel()
		contextFailure := a.run.contextFailure(a.ctx)
		return result{
			outcome:    retry.Broken,
			code:       contextFailure.Code,
			callerGone: true,
			err:        err,
		}
	}
	if isTimeout(err) {
		a.cancel()
		ended := a.broken(codeConnectionBroken, errors.Wrap(err, "no frame in time"))
		ended.silent = true
		return ended
	}
	ended := a.broken(codeConnectionBroken, err)
	if a.admitted {
		ended.strikes = strike.ConnectionLost
	}
	return ended
}

// broken returns the result of a broken connection or an invalid frame.
func (a *attempt) broken(code string, err error) result {
	ended := result{outcome: retry.Broken, code: code, err: err}
	if code == codeMalformedAnswer {
		// Tokens of this attempt that the caller already has may be wrong as well.
		ended.outcome = retry.Malformed
		ended.permanent = a.relaying && a.validator.tokenReceived
		if ended.permanent {
			ended.code = CodeIncomplete
		}
	}
	return ended
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return !errors.Is(err, io.EOF) && errors.As(err, &timeout) && timeout.Timeout()
}

func detail(text string) error {
	if text == "" {
		return nil
	}
	return errors.New(text)
}
