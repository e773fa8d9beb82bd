package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Kind is a kind of request.
type Kind string

// Kinds of request.
const (
	Chat       Kind = "chat"    // chat completion answered as one JSON object
	ChatStream Kind = "stream"  // chat completion answered as server-sent events
	Lookup     Kind = "lookup"  // idempotent call of a service
	Confirm    Kind = "confirm" // call of a service that is not idempotent
)

// Request is one request. Chat kinds use Workload, Content and Tokens; service
// kinds use Service and Path, and Confirm also Key.
type Request struct {
	Kind     Kind
	Workload string
	Content  string
	Tokens   int
	Service  string
	Path     string // begins with a slash
	Key      string
	Timeout  time.Duration // of one attempt; 0 for none
}

// Ran says whether the request of an error answer has run.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Outcome is the result of one attempt as the caller sees it.
type Outcome struct {
	Status     int  // 0 if no status line arrived
	Complete   bool // the answer is a success and complete
	Ran        Ran  // from an error answer; RanUnknown if none arrived
	Code       string
	RetryAfter time.Duration
	Text       string          // chat: the text; services: the body
	FirstToken time.Duration   // to the first token, or to the end of an answer that is not streamed
	Gaps       []time.Duration // between tokens of a stream
	Total      time.Duration   // to the end of the attempt
	Err        error
}

// Client sends requests of one account to one entry.
type Client struct {
	BaseURL string
	Token   string // bearer token
	HTTP    *http.Client
}

// problem is an application/problem+json body.
type problem struct {
	Code   string `json:"code"`
	Ran    Ran    `json:"ran"`
	Detail string `json:"detail"`
}

// Send makes one attempt.
func (c *Client) Send(ctx context.Context, request Request) Outcome {
	if request.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.Timeout)
		defer cancel()
	}
	start := time.Now()
	outcome := c.send(ctx, request, start)
	outcome.Total = time.Since(start)
	return outcome
}

func (c *Client) send(ctx context.Context, request Request, start time.Time) Outcome {
	httpRequest, err := c.newRequest(ctx, request)
	if err != nil {
		return Outcome{Ran: RanNo, Err: err}
	}
	response, err := c.HTTP.Do(httpRequest)
	if err != nil {
		return Outcome{Ran: RanUnknown, Err: errors.Wrapf(err, "send to %s", c.BaseURL)}
	}
	defer func() { _ = response.Body.Close() }()
	outcome := Outcome{Status: response.StatusCode, Ran: RanUnknown}
	if response.StatusCode != http.StatusOK {
		c.readProblem(response, &outcome)
		return outcome
	}
	if request.Kind == ChatStream {
		readStream(response.Body, start, &outcome)
		return outcome
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		outcome.Err = errors.Wrapf(err, "read answer from %s", c.BaseURL)
		return outcome
	}
	outcome.FirstToken = time.Since(start)
	outcome.Text = string(body)
	outcome.Complete = json.Valid(body)
	if request.Kind == Chat {
		outcome.Text, outcome.Complete = chatText(body)
	}
	return outcome
}

func (c *Client) newRequest(ctx context.Context, request Request) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(nil)
	switch request.Kind {
	case Chat, ChatStream:
		body = chatBody(request)
	case Lookup:
		method, path = http.MethodGet, "/v1/services/"+request.Service+request.Path
	case Confirm:
		path = "/v1/services/" + request.Service + request.Path
		body = []byte(`{}`)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	httpRequest.Header.Set("Authorization", "Bearer "+c.Token)
	httpRequest.Header.Set("Content-Type", "application/json")
	if request.Key != "" {
		httpRequest.Header.Set("Idempotency-Key", request.Key)
		httpRequest.GetBody = nil // the transport must not repeat the call by itself
	}
	return httpRequest, nil
}

// readProblem fills in the outcome from an error answer.
func (c *Client) readProblem(response *http.Response, outcome *Outcome) {
	var p problem
	if err := json.NewDecoder(response.Body).Decode(&p); err != nil {
		outcome.Err = errors.Wrapf(err, "read problem from %s", c.BaseURL)
		return
	}
	outcome.Code = p.Code
	if p.Ran != "" {
		outcome.Ran = p.Ran
	}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err == nil {
		outcome.RetryAfter = time.Duration(seconds) * time.Second
	}
	outcome.Err = errors.Errorf("status %d, code %s, ran %s: %s", outcome.Status, p.Code, p.Ran, p.Detail)
}
