// Package demo is the load program's subcommand that sends a fixed number of
// requests of every kind through the entries of a system that the subcommand
// layout has written, and determines from the stand-ins' records whether any was
// lost or doubled.
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
	processes, err := topology.ReadProcesses(c.Dir)
	if err != nil {
		return err
	}
	clients, services := clientsAndServices(processes)
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
	report := evaluate(results, runs)
	report.print(os.Stdout)
	if report.lost+report.doubled > 0 {
		return errors.New("some requests were lost or doubled")
	}
	return nil
}

// clientsAndServices returns a client for each entry and the base URL of each service.
func clientsAndServices(processes []topology.Process) (clients []*caller.Client, services []string) {
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
	repeat   *caller.Outcome // the outcome of sending the same key again; nil if that was not done
}

// kinds lists the kinds of requests, which are sent in turn.
var kinds = []caller.Kind{caller.Chat, caller.ChatStream, caller.Lookup, caller.Confirm}

// repeatEvery is the interval, in confirmations, between those that are sent a
// second time.
const repeatEvery = 5

// send sends the requests at a fixed rate (open loop) and waits for all of them.
func (c *Command) send(ctx context.Context, clients []*caller.Client) []result {
	results := make([]result, c.Requests)
	done := make(chan struct{})
	ticker := time.NewTicker(c.Duration / time.Duration(c.Requests))
	defer ticker.Stop()
	for i := range c.Requests {
		<-ticker.C
		go func() {
			results[i] = c.sendOne(ctx, clients, i)
			done <- struct{}{}
		}()
	}
	for range c.Requests {
		<-done
	}
	return results
}

// sendOne sends request i, first to an entry that depends on i.
func (c *Command) sendOne(ctx context.Context, clients []*caller.Client, i int) result {
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

// request returns request i.
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

// correct reports whether the caller got the complete answer to its own request,
// and the same one again if it repeated the request.
func (r *result) correct() bool {
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
