package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/adminhttp"
	"quetzalbend/internal/adapter/answers"
)

// Limits of one request.
const (
	dialTimeout    = 3 * time.Second
	requestTimeout = 30 * time.Second
	maxAnswerBytes = 256 << 20
)

// client calls the administration API of the configured entries.
type client struct {
	servers []string
	token   string
	http    *http.Client
}

func newClient(config Config) (*client, error) {
	token, err := readToken(config.TokenFile)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := newTLSConfig(config)
	if err != nil {
		return nil, err
	}
	transport := answers.NewTransport(&http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig: tlsConfig,
	})
	return &client{
		servers: config.Servers,
		token:   token,
		http:    &http.Client{Transport: transport, Timeout: requestTimeout},
	}, nil
}

func newTLSConfig(config Config) (*tls.Config, error) {
	result := &tls.Config{MinVersion: tls.VersionTLS12}
	if config.CAFile != "" {
		pool, err := readPool(config.CAFile)
		if err != nil {
			return nil, err
		}
		result.RootCAs = pool
	}
	if config.CertificateFile != "" {
		certificate, err := tls.LoadX509KeyPair(config.CertificateFile, config.KeyFile)
		if err != nil {
			return nil, errors.Wrap(err, "load certificate and key")
		}
		result.Certificates = []tls.Certificate{certificate}
	}
	return result, nil
}

func readPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("CA file %s holds no PEM certificate", path)
	}
	return pool, nil
}

// answer is a response whose body has been read completely.
type answer struct {
	header http.Header
	body   []byte
}

// version returns the setting's version, which the ETag header carries.
func (a *answer) version() (int64, error) {
	text, err := strconv.Unquote(a.header.Get("ETag"))
	if err != nil {
		return 0, errors.Errorf("entity tag %q", a.header.Get("ETag"))
	}
	return strconv.ParseInt(text, 10, 64)
}

// call sends a request to the servers in order until one answers. A write, which
// has an Idempotency-Key, goes to the next server only if no connection to the
// previous one could be made.
func (c *client) call(ctx context.Context, method, path string, header http.Header, body []byte) (*answer, error) {
	var lastErr error
	for _, server := range c.servers {
		got, err := c.callServer(ctx, server, method, path, header, body)
		if err == nil {
			return got, nil
		}
		var problem *adminhttp.Problem
		if errors.As(err, &problem) {
			return nil, err
		}
		lastErr = &exitError{code: ExitUnavailable, text: err.Error()}
		if header.Get("Idempotency-Key") != "" && !notSent(err) {
			return nil, &exitError{
				code: ExitUnknown,
				text: err.Error() + "\nthe write may take effect; ask with: outcome " + header.Get("Idempotency-Key"),
			}
		}
	}
	return nil, lastErr
}

// notSent reports whether the connection failed, so that nothing was sent.
func notSent(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

func (c *client) callServer(ctx context.Context, server, method, path string, header http.Header, body []byte) (*answer, error) {
	requestURL := strings.TrimSuffix(server, "/") + adminhttp.Prefix + path
	request, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if header != nil {
		request.Header = header.Clone()
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "ask entry %s", server)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "read answer of entry %s", server)
	}
	if response.StatusCode != http.StatusOK {
		return nil, problemOf(server, response, data)
	}
	return &answer{header: response.Header, body: data}, nil
}

// problemOf returns the problem details of an error response. If the response
// has none, the returned error gives its status.
func problemOf(server string, response *http.Response, data []byte) error {
	problem := &adminhttp.Problem{}
	if json.Unmarshal(data, problem) != nil || problem.Code == "" {
		return errors.Errorf("entry %s answered %s", server, response.Status)
	}
	return problem
}

// get requests a resource and decodes it into value.
func (c *client) get(ctx context.Context, path string, query url.Values, value any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	got, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(got.body, value), "decode answer")
}

// condition is the precondition of a write: the path's version, or its absence.
type condition struct {
	version *int64
	absent  bool
}

// write puts a value, or deletes the path if value is nil.
func (c *client) write(ctx context.Context, path string, value []byte, cond condition) (adminhttp.WriteResult, error) {
	var result adminhttp.WriteResult
	header := http.Header{}
	header.Set("Idempotency-Key", rand.Text())
	if cond.version != nil {
		header.Set("If-Match", strconv.Quote(strconv.FormatInt(*cond.version, 10)))
	}
	if cond.absent {
		header.Set("If-None-Match", "*")
	}
	method := http.MethodPut
	if value == nil {
		method = http.MethodDelete
	}
	got, err := c.call(ctx, method, settingURL(path), header, value)
	if err != nil {
		return result, err
	}
	return result, errors.Wrap(json.Unmarshal(got.body, &result), "decode answer")
}
