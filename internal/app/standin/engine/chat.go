package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

const maxBodyBytes = 8 << 20

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model      string    `json:"model"`
	Messages   []message `json:"messages"`
	MaxTokens  int       `json:"max_tokens"`
	Stream     bool      `json:"stream"`
	ResumeFrom int       `json:"resume_from"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *delta   `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// generation is the run of one request.
type generation struct {
	state   *state
	request chatRequest
	id      string
	seed    uint64
	sent    int // number of tokens generated in this run
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	requestID := r.Header.Get("X-Request-Id")
	ctx, id, err := e.state.begin(r.Context(), requestID)
	if errors.Is(err, errRestarting) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if e.crashesOn(&request) {
		e.state.crash()
	}
	w.Header().Set("X-Incarnation", e.state.incarnation())
	g := &generation{state: e.state, request: request, id: requestID, seed: seed(request.Messages)}
	err = g.run(ctx, w)
	e.state.end(id, g.sent, err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// crashesOn reports whether the request contains the text that crashes the
// engine.
func (e *Engine) crashesOn(request *chatRequest) bool {
	marker := e.state.currentFaults().DieOn
	if marker == "" {
		return false
	}
	for _, m := range request.Messages {
		if strings.Contains(m.Content, marker) {
			return true
		}
	}
	return false
}

func (g *generation) run(ctx context.Context, w http.ResponseWriter) error {
	select {
	case g.state.slots <- struct{}{}:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	defer func() { <-g.state.slots }()
	late := g.state.currentFaults().LateMS
	if err := pause(ctx, milliseconds(g.state.config.FirstTokenMS+late)); err != nil {
		return err
	}
	if g.request.Stream {
		return g.writeStream(ctx, w)
	}
	return g.writeCompletion(ctx, w)
}

func (g *generation) writeStream(ctx context.Context, w http.ResponseWriter) error {
	w.Header().Set("Content-Type", "text/event-stream")
	breakAfter := g.state.takeBreakAfter()
	err := g.generate(ctx, func(text string) error {
		if breakAfter > 0 && g.sent > breakAfter {
			return errDropped
		}
		return g.event(w, choice{Delta: &delta{Content: text}}, nil)
	})
	if err != nil {
		return err
	}
	stop := "stop"
	if err := g.event(w, choice{Delta: &delta{}, FinishReason: &stop}, g.usage()); err != nil {
		return err
	}
	_, err = io.WriteString(w, "data: [DONE]\n\n")
	return err
}

func (g *generation) writeCompletion(ctx context.Context, w http.ResponseWriter) error {
	var text strings.Builder
	err := g.generate(ctx, func(token string) error {
		text.WriteString(token)
		return nil
	})
	if err != nil {
		return err
	}
	stop := "stop"
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(completion{
		ID: g.id, Object: "chat.completion", Model: g.request.Model, Usage: g.usage(),
		Choices: []choice{{Message: &message{Role: "assistant", Content: text.String()}, FinishReason: &stop}},
	})
}

// generate generates the tokens from the resume position on and calls emit for
// each.
func (g *generation) generate(ctx context.Context, emit func(token string) error) error {
	between := milliseconds(g.state.config.BetweenTokensMS)
	for i := g.request.ResumeFrom; i < g.request.MaxTokens; i++ {
		if g.sent > 0 {
			if err := pause(ctx, between); err != nil {
				return err
			}
		}
		select {
		case <-g.state.resumed():
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		g.sent++
		if err := emit(token(g.seed, i)); err != nil {
			return err
		}
	}
	return nil
}

// event writes and flushes one server-sent event.
func (g *generation) event(w http.ResponseWriter, c choice, u *usage) error {
	data, err := json.Marshal(completion{
		ID: g.id, Object: "chat.completion.chunk", Model: g.request.Model, Choices: []choice{c}, Usage: u,
	})
	if err != nil {
		return err
	}
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func (g *generation) usage() *usage {
	prompt := 0
	for _, m := range g.request.Messages {
		prompt += len(strings.Fields(m.Content))
	}
	return &usage{
		PromptTokens:     prompt,
		CompletionTokens: g.request.MaxTokens,
		TotalTokens:      prompt + g.request.MaxTokens,
	}
}

// pause waits for d. If ctx ends first, it returns the cause.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
