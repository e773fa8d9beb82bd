// Package demo is the load program's subcommand that sends a fixed number of
// requests of every kind through the entries of a laid-out system and judges
// from the stand-ins' truth whether any was lost or doubled.
package demo

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalbend/internal/app/load/caller"
	"quetzalbend/internal/topology"
)

// Command holds the flags.
type Command struct {
	Dir      string        `long:"dir" required:"true" description:"folder of the layout"`
	Requests int           `long:"requests" default:"600" description:"requests to send"`
	Duration time.Duration `long:"duration" default:"12s" description:"time over which they are sent"`
	Timeout  time.Duration `long:"timeout" default:"15s" description:"for one request with all its attempts"`
	Tokens   int           `long:"tokens" default:"12" description:"tokens of each chat answer"`
}

// Register adds the subcommand to the parser.
func Register(parser *flags.Parser) error {
	_, err := parser.AddCommand("demo", "Send requests of every kind through a laid-out system",
		"Sends a fixed number of requests and prints, from the stand-ins' truth, whether any was lost or doubled.", &Command{})
	return errors.Wrap(err, "register demo")
}

// Execute sends the requests and prints the report.
func (c *Command) Execute([]string) error {
	processes, err := topology.Read(c.Dir)
	if err != nil {
		return err
	}
	clients, services := parties(processes)
	if len(clients) == 0 {
		return errors.New("the layout has no entry")
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration+2*c.Timeout)
	defer cancel()
	results := c.send(ctx, clients)
	runs, err := readRuns(ctx, services)
	if err != nil {
		return err
	}
	report := judge(results, runs)
	report.print(os.Stdout)
	if report.lost+report.doubled > 0 {
		return errors.New("not all requests were served exactly as asked")
	}
	return nil
}

// parties returns a client for each entry and the base URL of each service.
func parties(processes []topology.Process) (clients []*caller.Client, services []string) {
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for _, process := range processes {
		switch {
		case process.Program == topology.EntryProgram:
			clients = append(clients, &caller.Client{BaseURL: process.Base, Token: topology.AccountToken, HTTP: httpClient})
		case process.Subcommand == "service":
			services = append(services, process.Base)
		}
	}
	return clients, services
}

// result is one request with its last outcome.
type result struct {
	request  caller.Request
	outcome  caller.Outcome
	attempts int
	repeat   *caller.Outcome // of the same key sent once more, if it was
}

// kinds are sent in turn.
var kinds = []caller.Kind{caller.Chat, caller.ChatStream, caller.Lookup, caller.Confirm}

// repeatEvery says which confirmations are sent a second time.
const repeatEvery = 5

// send sends the requests in an open loop and waits for all of them.
func (c *Command) send(ctx context.Context, clients []*caller.Client) []result {
	results := make([]result, c.Requests)
	done := make(chan struct{})
	ticker := time.NewTicker(c.Duration / time.Duration(c.Requests))
	defer ticker.Stop()
	for i := range c.Requests {
		<-ticker.C
		go func() {
			results[i] = c.one(ctx, clients, i)
			done <- struct{}{}
		}()
	}
	for range c.Requests {
		<-done
	}
	return results
}

func (c *Command) one(ctx context.Context, clients []*caller.Client, i int) result {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	first := i / len(kinds) % len(clients)
	order := append(append([]*caller.Client{}, clients[first:]...), clients[:first]...)
	r := result{request: c.request(i)}
	r.outcome, r.attempts = caller.SendWithRetries(ctx, order, r.request)
	if r.request.Kind == caller.Confirm && i/len(kinds)%repeatEvery == 0 {
		repeat, _ := caller.SendWithRetries(ctx, clients, r.request)
		r.repeat = &repeat
	}
	return r
}

func (c *Command) request(i int) caller.Request {
	request := caller.Request{Kind: kinds[i%len(kinds)], Timeout: c.Timeout}
	switch request.Kind {
	case caller.Chat, caller.ChatStream:
		request.Workload = topology.Workload
		request.Content = fmt.Sprintf("Describe entry %d.", i)
		request.Tokens = c.Tokens
	case caller.Lookup:
		request.Service = topology.Service
		request.Path = fmt.Sprintf("/status/%d", i)
	case caller.Confirm:
		request.Service = topology.Service
		request.Path = "/confirm"
		request.Key = fmt.Sprintf("demo-%d-%d", os.Getpid(), i)
	}
	return request
}

// sound reports whether the caller got the whole answer to its own request.
func (r *result) sound() bool {
	if !r.outcome.Complete {
		return false
	}
	switch r.request.Kind {
	case caller.Chat, caller.ChatStream:
		return r.outcome.Text == wantText(r.request)
	case caller.Lookup:
		return strings.Contains(r.outcome.Text, `"`+r.request.Path+`"`)
	case caller.Confirm:
		return strings.Contains(r.outcome.Text, `"`+r.request.Key+`"`) &&
			(r.repeat == nil || r.repeat.Text == r.outcome.Text)
	}
	return false
}
