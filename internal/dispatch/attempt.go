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

// lastWordWait is how long an agent may take, after the caller's deadline, to
// say whether a call ran.
const lastWordWait = 200 * time.Millisecond

// firstTokenStalls is how much longer than a later token the first one may take.
const firstTokenStalls = 4

// claimedFirstFrames is how much longer the first frame may take of a call that
// may not be repeated: its agent claims the key in the platform's log first.
const claimedFirstFrames = 3

// result is how one attempt ended: with an answer, or with an outcome.
type result struct {
	answer     *Answer
	outcome    retry.Outcome
	code       string
	ran        wire.Ran
	strikes    int  // against the request
	silent     bool // the target or the way to it does not respond
	final      bool // the same would come of any other target
	callerGone bool // nobody waits for the answer any more
	retryAfter time.Duration
	err        error
}

// attempt is one call to one agent.
type attempt struct {
	run      *run
	ctx      context.Context
	member   *routing.Member
	stream   Stream
	check    frameCheck
	admitted bool
	passOn   bool   // chunks go to the caller as they come
	held     []byte // what follows the last token, until the answer is known to be whole
	answer   Answer
	bounded  time.Time     // when the deadline of the stream was last set
	limit    time.Duration // for which it was set

	cancelled sync.Once
}

func (r *run) attempt(ctx context.Context, member *routing.Member, suspect bool) result {
	member.State.Begin()
	defer member.State.End()
	stream, err := r.d.cfg.Links.Open(ctx, member.Target.Agent, r.open(suspect))
	if err != nil {
		return r.openFailed(err)
	}
	defer func() { _ = stream.Close() }()
	a := &attempt{
		run:    r,
		ctx:    ctx,
		member: member,
		stream: stream,
		check:  frameCheck{requestID: r.req.ID, streamed: r.req.streamed(), position: r.position},
		passOn: r.req.streamed(),
		answer: Answer{Status: http.StatusOK, Target: member.Target.Name},
	}
	stop := context.AfterFunc(ctx, a.interrupt)
	defer stop()
	return a.receive()
}

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

// cancel tells the agent that nobody waits for the answer any more.
func (a *attempt) cancel() {
	a.cancelled.Do(func() { _ = a.stream.Send(&wire.CallerFrame{Cancel: true}) })
}

// interrupt cancels the call when its context ends. After a passed deadline the
// agent gets a moment to say whether the call ran: its caller still listens.
func (a *attempt) interrupt() {
	a.cancel()
	_ = a.stream.SetDeadline(a.lastWord())
}

func (a *attempt) lastWord() time.Time {
	if errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		return a.run.req.Deadline.Add(lastWordWait)
	}
	return time.Unix(1, 0)
}

func (a *attempt) receive() result {
	a.bound(a.patience())
	for {
		frame := &wire.AnswerFrame{}
		if err := a.stream.Receive(frame); err != nil {
			return a.lost(err)
		}
		if err := a.check.accept(frame); err != nil {
			a.cancel()
			return a.broken(codeMalformedAnswer, err)
		}
		if load := frame.GetLoad(); load != nil {
			a.observe(load)
		}
		if ended, done := a.take(frame); done {
			return ended
		}
		a.bound(a.patience())
	}
}

// patience is how long the next frame may take. A call that was taken may have
// to wait for its turn at the target before its first token.
func (a *attempt) patience() time.Duration {
	switch {
	case a.check.next == 0 && !a.run.req.repeatable():
		return claimedFirstFrames * a.run.d.cfg.FirstFrame
	case a.check.next == 0:
		return a.run.d.cfg.FirstFrame
	case !a.check.tokens:
		return firstTokenStalls * a.run.d.cfg.Stall
	}
	return a.run.d.cfg.Stall
}

// bound sets the time until which the next frame must come. For the same limit
// it does so only now and then, since it runs for every token.
func (a *attempt) bound(limit time.Duration) {
	now := a.run.d.cfg.Now()
	if limit == a.limit && now.Sub(a.bounded) < limit/4 {
		return
	}
	a.bounded = now
	a.limit = limit
	until := a.run.req.Deadline.Add(lastWordWait)
	if a.passOn || a.check.next == 0 {
		until = now.Add(limit)
	}
	_ = a.stream.SetDeadline(until)
	if a.ctx.Err() != nil { // interrupt may have come before
		_ = a.stream.SetDeadline(a.lastWord())
	}
}

func (a *attempt) observe(load *wire.Load) {
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

// take handles one checked frame and reports whether it was the last.
func (a *attempt) take(frame *wire.AnswerFrame) (result, bool) {
	switch body := frame.GetBody().(type) {
	case *wire.AnswerFrame_Admitted:
		a.admitted = true
	case *wire.AnswerFrame_Refused:
		return a.refused(body.Refused), true
	case *wire.AnswerFrame_Head:
		a.head(body.Head)
	case *wire.AnswerFrame_Chunk:
		return a.chunk(body.Chunk)
	case *wire.AnswerFrame_Final:
		return a.final(body.Final), true
	case *wire.AnswerFrame_Failed:
		return a.failed(body.Failed), true
	}
	return result{}, false
}

func (a *attempt) head(head *wire.Head) {
	a.answer.Status = int(head.GetStatus())
	a.answer.Headers = head.GetHeaders()
	if a.answer.Status != http.StatusOK {
		a.passOn = false
	}
}

func (a *attempt) chunk(chunk *wire.Chunk) (result, bool) {
	if !a.passOn {
		if len(a.answer.Body)+len(chunk.GetData()) > a.run.d.cfg.AnswerBytes {
			a.cancel()
			return result{outcome: retry.Failed, code: CodeAnswerTooLarge, ran: wire.Ran_RAN_YES, final: true}, true
		}
		a.answer.Body = append(a.answer.Body, chunk.GetData()...)
		return result{}, false
	}
	if chunk.GetPosition() == a.run.position && a.run.position > 0 {
		a.held = append(a.held, chunk.GetData()...)
		return result{}, false
	}
	a.held = nil // a resumed stream may begin with a chunk that the caller has had
	a.run.position = chunk.GetPosition()
	return a.write(chunk.GetData())
}

// write passes a piece of a streamed answer on to the caller.
func (a *attempt) write(data []byte) (result, bool) {
	a.run.started = true
	if err := a.run.out.Write(data); err != nil {
		a.cancel()
		return result{outcome: retry.Failed, code: CodeCallerGone, ran: wire.Ran_RAN_YES, callerGone: true, err: err}, true
	}
	return result{}, false
}

func (a *attempt) final(final *wire.Final) result {
	if len(a.held) > 0 {
		if ended, failed := a.write(a.held); failed {
			return ended
		}
	}
	a.answer.Streamed = a.passOn
	a.answer.Tokens = max(a.check.position, final.GetTokens())
	a.answer.Replayed = final.GetReplayed()
	return result{answer: &a.answer}
}

func (a *attempt) refused(refused *wire.Refused) result {
	code := refused.GetReason()
	if code == "" {
		code = CodeRefusedByTarget
	}
	_, final := a.run.d.cfg.NoRetryCodes[code]
	outcome := retry.NotRunOther
	if NoCapacity(code) {
		outcome = retry.NotRunBusy
	}
	return result{
		outcome:    outcome,
		code:       code,
		final:      final,
		silent:     code == reasonTargetRefused || code == reasonTargetUnreachable,
		retryAfter: time.Duration(refused.GetRetryAfterMs()) * time.Millisecond,
		err:        detail(refused.GetDetail()),
	}
}

func (a *attempt) failed(failed *wire.Failed) result {
	ended := result{outcome: retry.Failed, code: failed.GetReason(), ran: failed.GetRan(), err: detail(failed.GetDetail())}
	switch {
	case failed.GetTargetDied():
		ended.strikes = strike.TargetDied
	case failed.GetReason() == reasonAnswerCut:
		ended.strikes = strike.AnswerCut
	}
	if failed.GetRan() == wire.Ran_RAN_NO && a.check.chunks == 0 {
		ended.outcome = retry.NotRunOther
	}
	return ended
}

// lost is the result of a stream that ended without its last frame.
func (a *attempt) lost(err error) result {
	if a.ctx.Err() != nil {
		a.cancel()
		interrupted := a.run.interrupted(a.ctx)
		return result{
			outcome:    retry.Broken,
			code:       interrupted.Code,
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

func (a *attempt) broken(code string, err error) result {
	ended := result{outcome: retry.Broken, code: code, err: err}
	if code == codeMalformedAnswer {
		// What the caller already has of this attempt may be wrong, too.
		ended.outcome = retry.Malformed
		ended.final = a.passOn && a.check.tokens
		if ended.final {
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
