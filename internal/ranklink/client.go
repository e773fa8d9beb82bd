package ranklink

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/core/mapchange"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
)

const (
	linkIdle      = 5 * time.Second // of a kept connection to an agent
	linksPerAgent = 2
	maxReplyBytes = 1 << 20
)

// Client reads ranks and gives them orders by way of their agents.
type Client struct {
	client *http.Client
	port   int
}

// NewClient returns a client of the agents that listen on port.
func NewClient(port int) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: linksPerAgent, IdleConnTimeout: linkIdle, DisableCompression: true}
	return &Client{client: &http.Client{Transport: transport}, port: port}
}

// StateOptions selects what is read of a rank beside its state.
type StateOptions struct {
	Counts bool // how often each expert was chosen
	Placed bool // the experts held, by set
}

// State reads the rank on the VM with the given IP. The experts held are nil
// unless asked for and of the version in force.
func (c *Client) State(ctx context.Context, ip string, ask StateOptions) (mapchange.Rank, [][]int32, error) {
	url := c.url(ip, pathState) + "?"
	if ask.Counts {
		url += askCounts + "&"
	}
	if ask.Placed {
		url += askPlaced
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return mapchange.Rank{}, nil, err
	}
	state := &wire.RankState{}
	if err := c.call(request, state); err != nil {
		return mapchange.Rank{}, nil, errors.Wrapf(err, "state of rank at %s", ip)
	}
	rank, placed := decodeRank(state)
	return rank, placed, nil
}

// Give gives an order to the rank on the VM with the given IP.
func (c *Client) Give(ctx context.Context, ip string, order platform.RankOrder) (platform.OrderAnswer, error) {
	data, err := proto.Marshal(encodeOrder(order))
	if err != nil {
		return platform.OrderRefused, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(ip, pathOrder), bytes.NewReader(data))
	if err != nil {
		return platform.OrderRefused, err
	}
	request.GetBody = nil // net/http must not send an order a second time
	reply := &wire.RankAnswer{}
	if err := c.call(request, reply); err != nil {
		return platform.OrderUnknown, errors.Wrapf(err, "order to rank at %s", ip)
	}
	if reply.Error != "" {
		err = errors.New(reply.Error)
	}
	return platform.OrderAnswer(reply.Answer), err
}

func (c *Client) url(ip, path string) string {
	return "http://" + ip + ":" + strconv.Itoa(c.port) + path
}

func (c *Client) call(request *http.Request, into proto.Message) error {
	answer, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close() //nolint:errcheck // what was read of it counts
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", answer.StatusCode)
	}
	return proto.Unmarshal(data, into)
}
