package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/answers"
	"quetzalbend/internal/port"
)

const (
	defaultTimeout = 2 * time.Second
	maxAnswerBytes = 64 << 20

	maxAnswerHeadBytes = 64 << 10
	maxIdleConns       = 4
)

// Config configures a Client.
type Config struct {
	BaseURL string        // such as http://127.0.0.1:7000
	Node    string        // name of this node, sent in NodeHeader with each request
	OnlyVM  string        // name of the only VM that VMs lists; empty for all
	Timeout time.Duration // of one request, in addition to the wait of a read; default 2 s
}

// Client is a client of the platform. It implements port.Log and port.VMList.
type Client struct {
	base    string
	vmsPath string
	node    string
	timeout time.Duration
	http    *http.Client

	mu      sync.Mutex
	vms     []port.VM // last list read
	vmsETag string    // entity tag of vms; empty if the platform sent none
}

// NewClient returns a client. It dials on first use.
func NewClient(cfg Config) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	dialer := &net.Dialer{Timeout: cfg.Timeout}
	return &Client{
		base:    strings.TrimSuffix(cfg.BaseURL, "/"),
		vmsPath: vmsPath(cfg.OnlyVM),
		node:    cfg.Node,
		timeout: cfg.Timeout,
		http: &http.Client{Transport: answers.NewTransport(&http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    maxIdleConns,
			IdleConnTimeout:        time.Minute,
			MaxResponseHeaderBytes: maxAnswerHeadBytes,
		})},
	}
}

// Append appends records to a stream and returns the offset of the first. It
// returns port.ErrNotAppended if the dial failed or the platform refused the
// records. After any other error the records may have been appended, or may still
// be appended later.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	body, err := json.Marshal(AppendRequest{Records: records})
	if err != nil {
		return 0, errors.Wrap(err, "encode append")
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.do(ctx, http.MethodPost, recordsPath(stream), body)
	if err != nil {
		return 0, c.appendError(stream, err)
	}
	defer drain(response)
	if response.StatusCode != http.StatusOK {
		return 0, c.statusError(stream, response.StatusCode)
	}
	var answer AppendAnswer
	if err := decode(response, &answer); err != nil {
		return 0, errors.Wrapf(err, "append to %s at %s", stream, c.base)
	}
	return answer.FirstOffset, nil
}

// appendError returns the error for a request that failed. Only a failed dial
// guarantees that nothing was sent and counts as port.ErrNotAppended.
func (c *Client) appendError(stream string, err error) error {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return errors.Wrapf(port.ErrNotAppended, "append to %s at %s: %v", stream, c.base, err)
	}
	return errors.Wrapf(err, "append to %s at %s", stream, c.base)
}

// statusError returns the error for an append answered with a status other than
// 200. Only statuses that guarantee that nothing was appended count as
// port.ErrNotAppended.
func (c *Client) statusError(stream string, status int) error {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return errors.Wrapf(port.ErrNotAppended, "append to %s at %s: status %d", stream, c.base, status)
	default:
		return errors.Errorf("append to %s at %s: status %d", stream, c.base, status)
	}
}

// Read implements port.Log. With port.ErrExpired it still returns the oldest and
// the next offset in the page.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	response, err := c.do(ctx, http.MethodGet, recordsPath(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return port.Page{}, errors.Wrapf(err, "read %s at %s", stream, c.base)
	}
	defer drain(response)
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusGone {
		return port.Page{}, errors.Errorf("read %s at %s: status %d", stream, c.base, response.StatusCode)
	}
	var answer ReadAnswer
	if err := decode(response, &answer); err != nil {
		return port.Page{}, errors.Wrapf(err, "read %s at %s", stream, c.base)
	}
	page := port.Page{Oldest: answer.Oldest, Next: answer.Next, Era: answer.Era}
	if response.StatusCode == http.StatusGone {
		return page, errors.Wrapf(port.ErrExpired, "read %s at %s", stream, c.base)
	}
	for i, record := range answer.Records {
		if record.Offset != from+int64(i) {
			return port.Page{}, errors.Errorf("read %s at %s: got offset %d for %d", stream, c.base, record.Offset, from+int64(i))
		}
		page.Records = append(page.Records, port.Record{Offset: record.Offset, Data: record.Data})
	}
	return page, nil
}

// VMs returns the platform's list of VMs, which callers must not modify. If the
// platform sends entity tags, an unchanged list is not transferred again.
func (c *Client) VMs(ctx context.Context) ([]port.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	known, tag := c.cachedVMs()
	request, err := c.request(ctx, http.MethodGet, c.vmsPath, nil)
	if err != nil {
		return nil, err
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "list VMs at %s", c.base)
	}
	defer drain(response)
	if response.StatusCode == http.StatusNotModified && tag != "" {
		return known, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("list VMs at %s: status %d", c.base, response.StatusCode)
	}
	var answer struct {
		VMs []json.RawMessage `json:"vms"`
	}
	if err := decode(response, &answer); err != nil {
		return nil, errors.Wrapf(err, "list VMs at %s", c.base)
	}
	vms := decodeVMs(answer.VMs)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms, c.vmsETag = vms, response.Header.Get("ETag")
	return vms, nil
}

// decodeVMs decodes the items of a list of VMs. It skips those that name no VM, so that one
// odd item does not hide the others.
func decodeVMs(items []json.RawMessage) []port.VM {
	vms := make([]port.VM, 0, len(items))
	for _, item := range items {
		var vm port.VM
		if err := json.Unmarshal(item, &vm); err == nil && vm.Name != "" {
			vms = append(vms, vm)
		}
	}
	return vms
}

// cachedVMs returns the last list with its entity tag.
func (c *Client) cachedVMs() ([]port.VM, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms, c.vmsETag
}

// Weights copies a file of the weight store to w and returns its size. It has no
// timeout of its own: the caller bounds the time with ctx.
func (c *Client) Weights(ctx context.Context, name string, w io.Writer) (int64, error) {
	response, err := c.do(ctx, http.MethodGet, "/v1/weights/"+url.PathEscape(name), nil)
	if err != nil {
		return 0, errors.Wrapf(err, "load weights %s from %s", name, c.base)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("load weights %s from %s: status %d", name, c.base, response.StatusCode)
	}
	size, err := io.Copy(w, response.Body)
	return size, errors.Wrapf(err, "load weights %s from %s", name, c.base)
}

// do sends one request with the node's name in NodeHeader.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	return c.http.Do(request)
}

// request returns a request with the node's name in NodeHeader.
func (c *Client) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set(NodeHeader, c.node)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// vmsPath returns the path of the list of VMs. If only is set, the list is limited to
// the VM with that name.
func vmsPath(only string) string {
	if only == "" {
		return "/v1/vms"
	}
	return "/v1/vms?" + url.Values{"name": {only}}.Encode()
}

func recordsPath(stream string) string {
	return fmt.Sprintf("/v1/streams/%s/records", url.PathEscape(stream))
}

// decode parses the JSON body of an answer.
func decode(response *http.Response, into any) error {
	reader := io.LimitReader(response.Body, maxAnswerBytes)
	return errors.Wrap(json.NewDecoder(reader).Decode(into), "decode answer")
}

// drain reads the rest of a short body, so that the connection can be reused, and
// closes the body.
func drain(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, 4<<10)
	_ = response.Body.Close()
}
