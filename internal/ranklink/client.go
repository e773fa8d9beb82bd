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

	"quetzalbend/internal/adapter/answers"
	"quetzalbend/internal/core/mapchange"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
)

const (
	idleConnTimeout      = 5 * time.Second // closes an unused connection to an agent
	maxIdleConnsPerAgent = 2
	maxReplyBytes        = 1 << 20
	maxReplyHeadBytes    = 64 << 10
)

// Client reads the state of ranks and sends them orders through their agents.
type Client struct {
	client *http.Client
	port   int
}

// NewClient returns a client for agents that listen on port.
func NewClient(port int) *Client {
	transport := answers.NewTransport(&http.Transport{
		MaxIdleConnsPerHost:    maxIdleConnsPerAgent,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxReplyHeadBytes,
	})
	return &Client{client: &http.Client{Transport: transport}, port: port}
}

// StateOptions selects optional parts of a rank's state.
type StateOptions struct {
	Counts    bool // how often each expert was chosen
	Placement bool // the experts that the rank holds, by set
}

// State reads the state of the rank on the VM with the given IP, and the experts
// that it holds, by set. The experts are nil if they were not asked for or do not
// belong to the map version in force.
func (c *Client) State(ctx context.Context, ip string, options StateOptions) (mapchange.Rank, [][]int32, error) {
	url := c.url(ip, pathState) + "?"
	if options.Counts {
		url += queryCounts + "&"
	}
	if options.Placement {
		url += queryPlaced
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return mapchange.Rank{}, nil, err
	}
	state := &wire.RankState{}
	if err := c.call(request, state); err != nil {
		return mapchange.Rank{}, nil, errors.Wrapf(err, "read state of rank at %s", ip)
	}
	rank, placement := decodeRank(state)
	return rank, placement, nil
}

// SendOrder sends an order to the rank on the VM with the given IP. After a failed
// request it returns platform.OrderUnknown, since the rank may have received the order.
func (c *Client) SendOrder(ctx context.Context, ip string, order platform.RankOrder) (platform.OrderAnswer, error) {
	data, err := proto.Marshal(encodeOrder(order))
	if err != nil {
		return platform.OrderRefused, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(ip, pathOrder), bytes.NewReader(data))
	if err != nil {
		return platform.OrderRefused, err
	}
	request.GetBody = nil // net/http must not resend an order, and cannot without GetBody
	reply := &wire.RankAnswer{}
	if err := c.call(request, reply); err != nil {
		return platform.OrderUnknown, errors.Wrapf(err, "send order to rank at %s", ip)
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
	defer answer.Body.Close() //nolint:errcheck // the body has been read; a close error does not matter
	data, err := io.ReadAll(http.MaxBytesReader(nil, answer.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", answer.StatusCode)
	}
	return proto.Unmarshal(data, into)
}
