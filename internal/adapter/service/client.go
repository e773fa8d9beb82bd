package service

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	maxIdleConnections = 256
	idleTimeout        = 30 * time.Second
	maxAnswer          = 8 << 20 // bytes
)

// KeyHeader carries the idempotency key of a call to the service.
const KeyHeader = "X-Idempotency-Key-Echo"

// ErrNotSent reports that nothing of the call reached the service.
var ErrNotSent = errors.New("service: call not sent")

// Client calls one service.
type Client struct {
	base       string
	idempotent *http.Transport
	single     *http.Transport
}

// New returns a client of the service at the base URL.
func New(base string) *Client {
	return &Client{
		base: strings.TrimSuffix(base, "/"),
		idempotent: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		single: singleUseTransport(),
	}
}

// singleUseTransport gives each request a connection of its own. net/http
// sends a request again only if a reused connection is lost, so it never does
// here, whatever the method and headers. HTTP/2, which has reasons of its own
// to send again, is off.
func singleUseTransport() *http.Transport {
	return &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		TLSNextProto:       map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.idempotent.CloseIdleConnections() }

// Call is one call of the service.
type Call struct {
	Method string
	Path   string // path and query
	Header http.Header
	Body   []byte
	Key    string // idempotency key; empty if the call is idempotent
}

// Answer is a whole answer of the service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes the call once and reads the whole answer. After an error without
// ErrNotSent in its chain the service may have run the call. Redirects are
// answers like any other and are not followed.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return Answer{}, errors.Wrapf(ErrNotSent, "build call of service %s: %v", c.base, err)
	}
	transport := c.idempotent
	if call.Key != "" {
		transport = c.single
	}
	response, err := transport.RoundTrip(request)
	if err != nil && !connected {
		return Answer{}, errors.Wrapf(ErrNotSent, "connect to service %s: %v", c.base, err)
	}
	if err != nil {
		return Answer{}, errors.Wrapf(err, "call service %s", c.base)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return Answer{}, errors.Wrapf(err, "read answer of service %s", c.base)
	}
	if len(body) > maxAnswer {
		return Answer{}, errors.Errorf("answer of service %s is over %d bytes", c.base, maxAnswer)
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
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
