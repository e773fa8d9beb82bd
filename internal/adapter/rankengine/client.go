package rankengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/expertmap"
	"quetzalbend/internal/mapgroup"
)

// maxAnswerBytes bounds the body of an engine's answer.
const maxAnswerBytes = 64 << 20

// ErrRefused reports that the engine refused an order because of its fencing token.
var ErrRefused = errors.New("order refused")

// Client is a client of the engine of one rank.
type Client struct {
	http *http.Client
	base string
	rank int
}

var (
	_ expertmap.Engine = (*Client)(nil)
	_ mapgroup.Reports = (*Client)(nil)
)

// New returns a client for the engine of a rank at the base URL.
func New(client *http.Client, base string, rank int) *Client {
	return &Client{http: client, base: base, rank: rank}
}

// order is the JSON body of an order. Besides the fencing token it holds at most
// one of the other fields.
type order struct {
	Fencing  expertmap.Ballot    `json:"fencing"`
	Map      *expertmap.Map      `json:"map,omitempty"`
	Hold     *expertmap.Hold     `json:"hold,omitempty"`
	Decision *expertmap.Decision `json:"decision,omitempty"`
}

// State implements expertmap.Engine.
func (c *Client) State(ctx context.Context) (expertmap.EngineState, error) {
	var state expertmap.EngineState
	err := c.get(ctx, fmt.Sprintf("/v1/ranks/%d/state", c.rank), &state)
	return state, err
}

// Report implements mapgroup.Reports.
func (c *Client) Report(ctx context.Context) (mapgroup.Report, error) {
	var report mapgroup.Report
	err := c.get(ctx, "/v1/report", &report)
	return report, err
}

// Fence implements expertmap.Engine.
func (c *Client) Fence(ctx context.Context, fencing expertmap.Ballot) error {
	_, err := c.sendOrder(ctx, order{Fencing: fencing})
	return err
}

// Stage implements expertmap.Engine.
func (c *Client) Stage(ctx context.Context, fencing expertmap.Ballot, next expertmap.Map) error {
	_, err := c.sendOrder(ctx, order{Fencing: fencing, Map: &next})
	return err
}

// Hold implements expertmap.Engine.
func (c *Client) Hold(ctx context.Context, fencing expertmap.Ballot, hold expertmap.Hold) (bool, error) {
	return c.sendOrder(ctx, order{Fencing: fencing, Hold: &hold})
}

// Follow implements expertmap.Engine.
func (c *Client) Follow(ctx context.Context, fencing expertmap.Ballot, decision expertmap.Decision) (bool, error) {
	return c.sendOrder(ctx, order{Fencing: fencing, Decision: &decision})
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return errors.Wrap(err, "build request to engine")
	}
	return c.do(request, into)
}

// sendOrder sends one order and returns whether the engine has carried it out. The
// transport does not resend a POST without an idempotency key once the engine may
// have received it.
func (c *Client) sendOrder(ctx context.Context, o order) (bool, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return false, errors.Wrap(err, "encode order")
	}
	url := fmt.Sprintf("%s/v1/ranks/%d/orders", c.base, c.rank)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrap(err, "build order to engine")
	}
	var answer struct {
		Done bool `json:"done"`
	}
	err = c.do(request, &answer)
	return answer.Done, err
}

func (c *Client) do(request *http.Request, into any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(err, "engine of rank %d", c.rank)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return errors.Wrapf(ErrRefused, "engine of rank %d", c.rank)
	default:
		return errors.Errorf("engine of rank %d: status %s", c.rank, response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(into)
	return errors.Wrapf(err, "decode answer of engine of rank %d", c.rank)
}
