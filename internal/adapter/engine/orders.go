package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const orderTimeout = 2 * time.Second

// Order tells the engine to load something or to change its role.
type Order struct {
	Fencing int64  `json:"fencing"` // fencing token
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version string `json:"version"`
}

// ErrFenced reports that the engine refused an order since it has already received
// one with a higher fencing token.
var ErrFenced = errors.New("engine: order fenced off")

// Order sends an order to the engine. If ErrNotSent or ErrFenced is in the error's
// chain, the order had no effect; after any other error it may have had one.
func (c *Client) Order(ctx context.Context, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	response, err := c.do(ctx, c.transport, http.MethodPost, "/v1/orders", "", body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.CopyN(io.Discard, response.Body, maxShortAnswerBytes)
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errors.Wrapf(ErrFenced, "%s %s at engine %s", order.Kind, order.Name, c.base)
	default:
		return errors.Errorf("%s %s at engine %s: status %d", order.Kind, order.Name, c.base, response.StatusCode)
	}
}
