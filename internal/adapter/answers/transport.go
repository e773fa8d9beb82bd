package answers

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"quetzalbend/internal/adapter/unframed"
)

const (
	minStatus  = http.StatusOK
	maxStatus  = 599
	maxInterim = 8 // interim answers to one request
)

// ErrInvalid reports bytes that are no answer of HTTP/1.
var ErrInvalid = errors.New("invalid answer")

// ErrCut reports an answer that ended before it was whole.
var ErrCut = errors.New("answer cut off")

// Transport is an http.RoundTripper that returns valid answers only.
type Transport struct {
	*http.Transport // sends the requests
}

// NewTransport returns a Transport that sends requests with base, whose dial function it
// changes.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialled, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: dialled}, nil
	}
	return &Transport{base}
}

// RoundTrip sends a request and returns the head of its answer. Errors have ErrInvalid in their
// chain if there was an answer, and it was none; reads of the body fail with ErrInvalid or
// ErrCut.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	x := &exchange{}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), x.trace())))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		response.Body.Close() //nolint:errcheck // the answer is given up
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, response: response, exchange: x, framed: unframed.IsFramed(response)}
	return response, nil
}

// exchange is one request and its answer.
type exchange struct {
	mu      sync.Mutex
	written chan error // gets the result of writing the request, of the last attempt of net/http
	interim int
}

func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.written = make(chan error, 1)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case x.result() <- info.Err:
			default: // has the result of this attempt
			}
		},
		Got1xxResponse: func(_ int, head textproto.MIMEHeader) error {
			if x.interim++; x.interim > maxInterim {
				return errors.Wrapf(ErrInvalid, "more than %d interim answers", maxInterim)
			}
			return checkNames(http.Header(head))
		},
	}
}

func (x *exchange) result() chan error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.written
}

// awaitWritten waits until the request has been written, and returns the error if it was not. It
// may be called once.
func (x *exchange) awaitWritten(ctx context.Context) error {
	select {
	case err := <-x.result():
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func checkHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return errors.Wrapf(ErrInvalid, "status %q", response.Status)
	}
	if response.ProtoMajor != 1 {
		return errors.Wrapf(ErrInvalid, "protocol %q", response.Proto)
	}
	if err := checkNames(response.Header); err != nil {
		return err
	}
	return checkNames(response.Trailer)
}

// checkNames checks the names of fields. net/http takes names with blanks.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalid, "field name %q", name)
		}
	}
	return nil
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	response *http.Response
	exchange *exchange
	framed   bool
	ended    error // of the read at the end; nil: not reached
}

// Read returns io.EOF only at the end of a whole answer.
func (b *body) Read(into []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		b.ended = b.end(err)
		err = b.ended
	}
	return n, err
}

// end returns the error of a read at the end of the answer.
func (b *body) end(whole error) error {
	if !b.framed {
		// At its end, the connection lets no write wait any longer.
		if err := b.exchange.awaitWritten(b.response.Request.Context()); err != nil {
			return errors.Wrapf(ErrCut, "the connection ended before the request was written: %v", err)
		}
	}
	if err := checkNames(b.response.Trailer); err != nil {
		return err
	}
	return whole
}
