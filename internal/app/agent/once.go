package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/adapter/platform"
	"quetzalbend/internal/adapter/service"
	"quetzalbend/internal/claimlog"
	"quetzalbend/internal/core/admission"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/claims"
	"quetzalbend/internal/port"
	"quetzalbend/internal/wire"
)

const (
	defaultKeyWindow      = time.Hour
	defaultServiceTimeout = 10 * time.Second
)

// newClaims returns the claim log of the agent's service.
func (a *Agent) newClaims() *claimlog.Log {
	client := platform.NewClient(platform.Config{BaseURL: a.config.Platform, Node: a.config.VM})
	return claimlog.New(claimlog.Config{
		Log:         client,
		Stream:      claimsStream(a.config.Team, a.config.ServiceName),
		Target:      a.config.Name,
		Incarnation: a.incarnation,
		Window:      a.keyWindow,
	})
}

// claimsStream names the stream of one service's claims.
func claimsStream(team, service string) string {
	return port.ClaimsStreamPrefix + team + "." + service
}

// serviceSettings returns the settings of the agent's service, or nil.
func (a *Agent) serviceSettings() *catalog.Service {
	view := a.catalog()
	if view == nil {
		return nil
	}
	return view.Services[catalog.TeamName{Team: a.config.Team, Name: a.config.ServiceName}]
}

func (a *Agent) keyWindow() time.Duration {
	if s := a.serviceSettings(); s != nil && s.KeyWindowMS > 0 {
		return milliseconds(s.KeyWindowMS)
	}
	return defaultKeyWindow
}

func (a *Agent) serviceTimeout() time.Duration {
	if s := a.serviceSettings(); s != nil && s.TimeoutMS > 0 {
		return milliseconds(s.TimeoutMS)
	}
	return defaultServiceTimeout
}

// claimRequest returns the claim request of a call that may not be repeated.
func claimRequest(call *wire.Call) claimlog.Request {
	work := call.GetService()
	return claimlog.Request{
		Account:     call.GetAccount(),
		Key:         work.GetIdempotencyKey(),
		Fingerprint: claims.FingerprintOf(work.GetMethod(), work.GetPath(), work.GetBody()),
	}
}

// runOnce runs a call that may not be repeated. The run continues to its end if
// the caller disconnects, so that a repeated call can get the answer.
func (a *Agent) runOnce(ctx context.Context, call *wire.Call, out *answerWriter) (admission.End, error) {
	end := admission.Unused
	work := call.GetService()
	result := a.claims.Do(ctx, claimRequest(call), func() claimlog.Outcome {
		_ = out.admitted() // the caller may be gone; the call is run regardless
		outcome := a.runClaimed(work, out.holding)
		switch {
		case outcome.NotSent:
			end = admission.NotSent
		case outcome.Answer == nil:
			end = admission.Broken
		default:
			end = admission.Finished
		}
		return outcome
	})
	return end, a.relayResult(call, out, result)
}

// relayResult sends the entry the result of a call that may not be repeated.
func (a *Agent) relayResult(call *wire.Call, out *answerWriter, result claimlog.Result) error {
	reason := string(result.Reason)
	switch {
	case result.Answer != nil:
		return relayService(out, fromClaim(result.Answer), result.Replayed)
	case result.Ran == claimlog.RanNo:
		return a.refuse(call, out, &wire.Refused{Reason: reason})
	case result.Ran == claimlog.RanYes:
		return out.failed(&wire.Failed{Ran: wire.Ran_RAN_YES, Reason: reason})
	default:
		return out.failed(&wire.Failed{Ran: wire.Ran_RAN_UNKNOWN, Reason: reason})
	}
}

// runClaimed sends a call to the service after its claim has won.
func (a *Agent) runClaimed(work *wire.ServiceCall, held *holding) claimlog.Outcome {
	ctx, cancel := context.WithTimeout(a.work, a.serviceTimeout())
	defer cancel()
	response, err := a.service.Do(ctx, serviceCall(work, held))
	if errors.Is(err, service.ErrNotSent) {
		return claimlog.Outcome{NotSent: true}
	}
	if err != nil {
		return claimlog.Outcome{}
	}
	return claimlog.Outcome{Answer: toClaim(response)}
}

// toClaim converts a service's answer to the form that the log keeps.
func toClaim(response service.Answer) *claims.Answer {
	kept := &claims.Answer{Status: response.Status, Body: response.Body, Unframed: response.Unframed}
	for _, h := range wireHeaders(response.Header) {
		kept.Headers = append(kept.Headers, claims.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return kept
}

// fromClaim is the reverse of toClaim.
func fromClaim(kept *claims.Answer) service.Answer {
	header := make(http.Header, len(kept.Headers))
	for _, h := range kept.Headers {
		header.Add(h.Name, h.Value)
	}
	return service.Answer{Status: kept.Status, Header: header, Body: kept.Body, Unframed: kept.Unframed}
}

// serveAsk answers an entry that asks for the outcome of a call that may not be
// repeated.
func (a *Agent) serveAsk(ask *wire.AskOutcome, stream *link.Stream) {
	if a.claims == nil || ask.GetService() != a.config.ServiceName || !a.claims.Ready() {
		_ = stream.Send(&wire.Outcome{Ran: wire.Ran_RAN_UNKNOWN, Running: true})
		return
	}
	serving, notRun := a.outcomes.ask(ask.GetRequestId())
	outcome := outcomeOf(a.claims.KeyState(ask.GetAccount(), ask.GetIdempotencyKey()))
	switch {
	case outcome.GetRan() != wire.Ran_RAN_UNKNOWN:
	case serving:
		outcome.Running = true
	case notRun:
		outcome.Ran, outcome.Running = wire.Ran_RAN_NO, false
	}
	_ = stream.Send(outcome)
}

// outcomeOf returns the outcome that is known from the state of a key. A free key
// counts as unknown too, since a claim may not have been read from the log yet.
func outcomeOf(state claims.State) *wire.Outcome {
	outcome := &wire.Outcome{Ran: wire.Ran_RAN_UNKNOWN}
	switch state.Phase {
	case claims.Claimed:
		outcome.Running = !state.OwnerGone
	case claims.Answered:
		outcome.Ran = wire.Ran_RAN_YES
		if !state.Answer.Dropped {
			kept := fromClaim(state.Answer)
			outcome.Head = &wire.Head{Status: int32(kept.Status), Headers: wireHeaders(kept.Header), Unframed: kept.Unframed}
			outcome.Body = kept.Body
		}
	case claims.Free, claims.Unanswered:
	}
	return outcome
}
