package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/answers"
	"quetzalbend/internal/core/memory"
)

const (
	maxIdleConnections  = 2
	idleTimeout         = 30 * time.Second
	loadTimeout         = time.Second
	maxShortAnswerBytes = 64 << 10 // of a load report or the answer to an order
	maxAnswerBytes      = 8 << 20  // of an answer that is not streamed
	maxAnswerHeadBytes  = 64 << 10
	// HeadBytes is what the head of an answer and the buffer for reading it may take.
	HeadBytes = maxAnswerHeadBytes + readBufferSize
)

// Headers between the agent and the engine.
const (
	RequestIDHeader   = "X-Request-Id"
	IncarnationHeader = "X-Incarnation" // of the engine, on each answer
)

// Errors that callers distinguish.
var (
	// ErrNotSent reports that nothing of the request reached the engine.
	ErrNotSent = errors.New("engine: request not sent")
	// ErrBadRequest reports that the caller's body is not a JSON object. Nothing
	// was sent.
	ErrBadRequest = errors.New("engine: body is no JSON object")
	// ErrTruncated reports that an answer ended before it was complete.
	ErrTruncated = errors.New("engine: answer cut off")
	// ErrMalformed reports an answer that violates the protocol.
	ErrMalformed = errors.New("engine: malformed answer")
)

// Client talks to one engine.
type Client struct {
	base      string
	transport *answers.Transport
	keepAlive *answers.Transport // for load reports, of which one that is repeated is only a little older
}

// New returns a client for the engine at the base URL.
func New(base string) *Client {
	return &Client{
		base: strings.TrimSuffix(base, "/"),
		// On a kept connection, an answer that the engine writes once more would be taken
		// for the answer to the next request.
		transport: answers.NewTransport(&http.Transport{
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxAnswerHeadBytes,
		}),
		keepAlive: answers.NewTransport(&http.Transport{
			MaxIdleConnsPerHost:    maxIdleConnections,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxAnswerHeadBytes,
		}),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.keepAlive.CloseIdleConnections() }

// Completion is the request for one chat completion.
type Completion struct {
	RequestID  string
	Body       []byte // the caller's JSON body
	Model      string
	Version    string
	Adapter    string
	Priority   int32
	ResumeFrom int64 // number of tokens at the start of the answer to leave out
	Stream     bool
	Sent       func() // called when the request has been written, if set
	// Memory is for the answer, with HeadBytes reserved; nil: unlimited.
	Memory *memory.Reservation
}

// Complete sends a chat completion and returns when the status and headers of the
// answer have arrived. Cancelling ctx cancels the request at the engine.
func (c *Client) Complete(ctx context.Context, completion Completion) (*Answer, error) {
	body, err := completion.encode()
	if err != nil {
		return nil, err
	}
	if completion.Sent != nil {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			WroteRequest: func(httptrace.WroteRequestInfo) { completion.Sent() },
		})
	}
	response, err := c.do(ctx, c.transport, http.MethodPost, "/v1/chat/completions", completion.RequestID, body)
	if err != nil {
		return nil, err
	}
	return newAnswer(response, c.base, completion), nil
}

// encode returns the caller's body with the fields that the engine reads set from
// c. Of these fields, the caller's own values are replaced or removed.
func (c Completion) encode() ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(c.Body, &fields); err != nil {
		return nil, errors.Wrapf(ErrBadRequest, "decode chat completion: %v", err)
	}
	if fields == nil {
		return nil, errors.Wrap(ErrBadRequest, "decode chat completion: null")
	}
	set := func(name string, value any) error {
		encoded, err := json.Marshal(value)
		if err != nil {
			return errors.Wrapf(err, "encode field %s", name)
		}
		fields[name] = encoded
		return nil
	}
	engineFields := []struct {
		name  string
		value any
		isSet bool
	}{
		{"model", c.Model, c.Model != ""},
		{"version", c.Version, c.Version != ""},
		{"adapter", c.Adapter, c.Adapter != ""},
		{"priority", c.Priority, true},
		{"resume_from", c.ResumeFrom, c.ResumeFrom > 0},
		{"stream", c.Stream, true},
	}
	for _, field := range engineFields {
		if !field.isSet {
			delete(fields, field.name)
			continue
		}
		if err := set(field.name, field.value); err != nil {
			return nil, err
		}
	}
	encoded, err := json.Marshal(fields)
	return encoded, errors.Wrap(err, "encode chat completion")
}

// do sends one request. ErrNotSent is in the error's chain if there was no
// connection to send it on.
func (c *Client) do(ctx context.Context, transport *answers.Transport, method, path, requestID string, body []byte) (*http.Response, error) {
	gotConnection := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConnection = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "build request for engine %s", c.base)
	}
	request.Header.Set("Content-Type", "application/json")
	if isHeaderValue(requestID) {
		request.Header.Set(RequestIDHeader, requestID)
	}
	response, err := transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if !gotConnection {
		return nil, errors.Wrapf(ErrNotSent, "connect to engine %s: %v", c.base, err)
	}
	return nil, errors.Wrapf(err, "send %s to engine %s", path, c.base)
}

// isHeaderValue reports whether an ID can be sent in a header: it must be printable
// ASCII without spaces.
func isHeaderValue(id string) bool {
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return id != ""
}

// Load is an engine's report of its load, ReportAgeMS milliseconds old.
type Load struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Cold        bool   `json:"cold"`
	ReportAgeMS int64  `json:"report_age_ms"`
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	response, err := c.do(ctx, c.keepAlive, http.MethodGet, "/v1/load", "", nil)
	if err != nil {
		return load, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return load, errors.Errorf("load of engine %s: status %d", c.base, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxShortAnswerBytes)).Decode(&load)
	if err != nil {
		return load, errors.Wrapf(err, "decode load of engine %s", c.base)
	}
	if load.Running < 0 || load.Waiting < 0 || load.ReportAgeMS < 0 {
		return load, errors.Wrapf(ErrMalformed, "load of engine %s", c.base)
	}
	return load, nil
}
