//go:build scenarios

package scenarios

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/app/load/caller"
	"quetzalbend/internal/app/standin/engine"
	"quetzalbend/internal/topology"
)

const requestTimeout = 20 * time.Second

// sent is a request that was sent in the background, and its outcome.
type sent struct {
	request caller.Request
	done    chan struct{} // closed when outcome is set
	outcome caller.Outcome
}

func (sc *scenario) client(via, token string) (*caller.Client, error) {
	if via == "" {
		via = "entry-a1"
	}
	if token == "" {
		token = topology.AccountToken
	}
	entry, err := sc.process(via)
	if err != nil {
		return nil, err
	}
	return &caller.Client{BaseURL: entry.Base, Token: token, HTTP: sc.http}, nil
}

// cmdSend sends a request in the background, once or, with until=done, repeatedly
// until it is done:
// send ID chat|stream|lookup|confirm [via=ENTRY] [key=KEY] [tokens=N]
// [content=TEXT] [workload=NAME] [token=TOKEN] [timeout=MS] [until=done].
func (sc *scenario) cmdSend(args []string) error {
	options, rest := splitOptions(args, "via", "key", "tokens", "content", "workload", "token", "timeout", "until")
	if len(rest) != 2 {
		return errors.New("usage: send ID KIND [OPTION=VALUE...]")
	}
	client, err := sc.client(options["via"], options["token"])
	if err != nil {
		return err
	}
	request, err := newRequest(rest[0], caller.Kind(rest[1]), options)
	if err != nil {
		return err
	}
	s := &sent{request: request, done: make(chan struct{})}
	sc.sent[rest[0]] = s
	sc.background.Go(func() {
		defer close(s.done)
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		if options["until"] == "done" {
			s.outcome, _ = caller.SendWithRetries(ctx, []*caller.Client{client}, s.request)
		} else {
			s.outcome = client.Send(ctx, s.request)
		}
	})
	return nil
}

func newRequest(id string, kind caller.Kind, options map[string]string) (caller.Request, error) {
	tokens, err := number(options, "tokens", 16)
	if err != nil {
		return caller.Request{}, err
	}
	timeout, err := number(options, "timeout", int(requestTimeout.Milliseconds()))
	if err != nil {
		return caller.Request{}, err
	}
	request := caller.Request{
		Kind:     kind,
		Workload: topology.Workload,
		Content:  "Request " + id,
		Tokens:   tokens,
		Service:  topology.Service,
		Path:     "/" + id,
		Timeout:  time.Duration(timeout) * time.Millisecond,
	}
	if kind == caller.Confirm {
		request.Key = id
	}
	setIfGiven(&request.Workload, options["workload"])
	setIfGiven(&request.Content, options["content"])
	if options["key"] != "" {
		request.Key = options["key"]
		request.Path = "/" + request.Key // a repeat must be the same call
	}
	return request, nil
}

func setIfGiven(field *string, value string) {
	if value != "" {
		*field = value
	}
}

// cmdAnswer waits for the answer to a request and checks it:
// answer ID [whole] [status=N] [ran=no|yes|unknown] [code=CODE]. With whole, the
// answer must be complete and correct.
func (sc *scenario) cmdAnswer(args []string) error {
	options, rest := splitOptions(args, "status", "ran", "code")
	if len(rest) == 0 || sc.sent[rest[0]] == nil {
		return errors.New("usage: answer ID [whole] [OPTION=VALUE...]; ID must have been sent")
	}
	s := sc.sent[rest[0]]
	<-s.done
	for key, got := range map[string]string{
		"status": fmt.Sprint(s.outcome.Status), "ran": string(s.outcome.Ran), "code": s.outcome.Code,
	} {
		if want, ok := options[key]; ok && want != got {
			return errors.Errorf("%s is %s (%v)", key, got, s.outcome.Err)
		}
	}
	if len(rest) > 1 && !correctAnswer(s.request, s.outcome) {
		return errors.Errorf("answer is not complete and correct: status %d, %v: %.200s", s.outcome.Status, s.outcome.Err, s.outcome.Text)
	}
	return nil
}

// correctAnswer reports whether the outcome is the complete and correct answer
// to the request.
func correctAnswer(request caller.Request, outcome caller.Outcome) bool {
	if !outcome.Complete {
		return false
	}
	switch request.Kind {
	case caller.Chat, caller.ChatStream:
		return outcome.Text == engine.Text(request.Content, request.Tokens)
	case caller.Confirm:
		return strings.Contains(outcome.Text, `"`+request.Key+`"`)
	case caller.Lookup:
		return strings.Contains(outcome.Text, `"`+request.Path+`"`)
	}
	return false
}

// cmdSame checks that two requests got the same answer: same ID ID.
func (sc *scenario) cmdSame(args []string) error {
	if len(args) != 2 || sc.sent[args[0]] == nil || sc.sent[args[1]] == nil {
		return errors.New("usage: same ID ID")
	}
	first, second := sc.sent[args[0]], sc.sent[args[1]]
	<-first.done
	<-second.done
	if first.outcome.Text != second.outcome.Text {
		return errors.Errorf("answers differ: %q and %q", first.outcome.Text, second.outcome.Text)
	}
	return nil
}

// load sends requests at a fixed rate in the background, without waiting for the
// answers to earlier ones (open loop).
type load struct {
	stop  context.CancelFunc
	ended chan struct{}

	lock     sync.Mutex
	requests int
	failures []string
	keys     []string
}

// cmdLoad starts a load that endload ends:
// load ID rate=N kinds=chat,confirm [via=ENTRY,ENTRY] [tokens=N].
// Each request is repeated until it is done, at one entry after the other.
func (sc *scenario) cmdLoad(args []string) error {
	options, rest := splitOptions(args, "rate", "kinds", "via", "tokens")
	if len(rest) != 1 {
		return errors.New("usage: load ID [OPTION=VALUE...]")
	}
	rate, err := number(options, "rate", 20)
	if err != nil {
		return err
	}
	setDefaultOption(options, "via", "entry-a1")
	setDefaultOption(options, "kinds", "chat,stream,lookup,confirm")
	var clients []*caller.Client
	for _, name := range strings.Split(options["via"], ",") {
		client, err := sc.client(name, "")
		if err != nil {
			return err
		}
		clients = append(clients, client)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{stop: cancel, ended: make(chan struct{})}
	sc.loads[rest[0]] = l
	kinds := strings.Split(options["kinds"], ",")
	sc.background.Go(func() { l.run(ctx, rest[0], time.Second/time.Duration(rate), kinds, clients, options) })
	return nil
}

func setDefaultOption(options map[string]string, key, value string) {
	if options[key] == "" {
		options[key] = value
	}
}

func (l *load) run(ctx context.Context, id string, period time.Duration, kinds []string, clients []*caller.Client, options map[string]string) {
	defer close(l.ended)
	var group sync.WaitGroup
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			group.Wait()
			return
		case <-ticker.C:
		}
		request, err := newRequest(fmt.Sprintf("%s-%d", id, i), caller.Kind(kinds[i%len(kinds)]), options)
		if err != nil {
			continue
		}
		first := i % len(clients)
		order := append(append([]*caller.Client{}, clients[first:]...), clients[:first]...)
		group.Go(func() { l.sendOne(request, order) })
	}
}

func (l *load) sendOne(request caller.Request, clients []*caller.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	outcome, attempts := caller.SendWithRetries(ctx, clients, request)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.requests++
	if request.Key != "" {
		l.keys = append(l.keys, request.Key)
	}
	if !correctAnswer(request, outcome) {
		l.failures = append(l.failures, fmt.Sprintf("%s %s%s after %d attempts: status %d, %v",
			request.Kind, request.Path, request.Key, attempts, outcome.Status, outcome.Err))
	}
}

// cmdEndLoad ends a load and waits for its requests. It checks that all were
// served, that each key ran exactly once and that there were at least N
// requests: endload ID [atleast=N].
func (sc *scenario) cmdEndLoad(args []string) error {
	options, rest := splitOptions(args, "atleast")
	if len(rest) != 1 || sc.loads[rest[0]] == nil {
		return errors.New("usage: endload ID [atleast=N]")
	}
	atLeast, err := number(options, "atleast", 1)
	if err != nil {
		return err
	}
	l := sc.loads[rest[0]]
	l.stop()
	<-l.ended
	if len(l.failures) > 0 {
		return errors.Errorf("%d of %d requests not served: %s", len(l.failures), l.requests, strings.Join(l.failures, "\n"))
	}
	if l.requests < atLeast {
		return errors.Errorf("only %d requests were sent", l.requests)
	}
	runs, err := sc.runs()
	if err != nil {
		return err
	}
	for _, key := range l.keys {
		if runs[key] != 1 {
			return errors.Errorf("key %s ran %d times", key, runs[key])
		}
	}
	return nil
}
