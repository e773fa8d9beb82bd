package service

import (
	"bytes"
	"context"
	"crypto/tls"
	"net/http"
	"net/http/httptrace"
	"strings"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/answers"
	"quetzalbend/internal/adapter/unframed"
	"quetzalbend/internal/body"
	"quetzalbend/internal/core/memory"
)

const (
	maxAnswerBytes = 8 << 20
	// HeadBytes is what the head of an answer may take.
	HeadBytes = 64 << 10
	maxStatus = 599
)

// KeyHeader is the header that passes a call's idempotency key to the service.
const KeyHeader = "X-Idempotency-Key-Echo"

// ErrNotSent reports that nothing of the call reached the service.
var ErrNotSent = errors.New("service: call not sent")

// Client calls one service.
type Client struct {
	base      string
	transport *answers.Transport
}

// New returns a client for the service at the base URL.
func New(base string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), transport: singleUseTransport()}
}

// singleUseTransport returns a transport that opens a new connection for each
// request. On a kept one, an answer that the service writes once more would be taken for
// the answer to the next request. net/http resends a request only if a reused connection is lost, so here
// it never does, whatever the method and headers. HTTP/2 is disabled, as it has
// other reasons to resend.
func singleUseTransport() *answers.Transport {
	return answers.NewTransport(&http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: HeadBytes,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	})
}

// Call is one call to the service.
type Call struct {
	Method string
	Path   string // path and query
	Header http.Header
	Body   []byte
	Key    string // idempotency key; empty if the call is idempotent
	// Memory is for the answer, with HeadBytes reserved; nil: unlimited.
	Memory *memory.Reservation
}

// Answer is the complete answer of the service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Unframed is set if only the end of the connection ended the body, which may be cut.
	Unframed bool
}

// Do makes the call once and reads the complete answer. After an error without
// ErrNotSent in its chain the service may have run the call; body.ErrNoMemory in it reports
// that there is no memory for the answer. Redirects are not
// followed but returned like any other answer.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	gotConnection := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConnection = true }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return Answer{}, errors.Wrapf(ErrNotSent, "build call of service %s: %v", c.base, err)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil && !gotConnection {
		return Answer{}, errors.Wrapf(ErrNotSent, "connect to service %s: %v", c.base, err)
	}
	if err != nil {
		return Answer{}, errors.Wrapf(err, "call service %s", c.base)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return Answer{}, errors.Errorf("answer of service %s has status %d", c.base, response.StatusCode)
	}
	from := http.MaxBytesReader(nil, response.Body, maxAnswerBytes)
	content, err := body.Read(from, min(response.ContentLength, maxAnswerBytes+1), maxAnswerBytes, call.Memory)
	if err != nil {
		return Answer{}, errors.Wrapf(err, "read answer of service %s", c.base)
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: content, Unframed: !unframed.IsFramed(response)}, nil
}

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, errors.Errorf("path %q does not start with a slash", call.Path)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range call.Header {
		request.Header[http.CanonicalHeaderKey(name)] = values
	}
	if call.Key != "" {
		request.Header.Set(KeyHeader, call.Key)
	}
	return request, nil
}
