package callerhttp

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"quetzalbend/internal/adapter/unframed"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/rendezvous"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/dispatch"
	"quetzalbend/internal/wire"
)

// chatRequest holds the fields of a chat completion that routing needs. The body
// itself is forwarded unchanged.
type chatRequest struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chat serves /v1/chat/completions.
func (h *handler) chat(x *exchange) *failure {
	body, failed := h.readBody(x)
	if failed != nil {
		return failed
	}
	chat, failed := parseChat(body)
	if failed != nil {
		return failed
	}
	workload, ok := x.catalog().Workloads[catalog.TeamName{Team: x.account.Team, Name: chat.Model}]
	if !ok {
		return refuse(CodeUnknownModel, "no workload "+strconv.Quote(chat.Model))
	}
	x.class = classFor(workload.Class, x.account.Class)
	affinity := prefixHash(x.account.Team, chat)
	req := h.request(x, body)
	req.Affinity = affinity
	req.SharedParts = sharedParts(chat)
	req.Model = &wire.ModelCall{
		Model:      workload.Model,
		Adapter:    workload.Adapter,
		Version:    workload.Version,
		Body:       body,
		Stream:     chat.Stream,
		PrefixHash: affinity,
	}
	if chat.Stream {
		x.stream = newSSEWriter(x, h)
	}
	answer, failed := h.run(x, req, milliseconds(workload.TimeoutMS), x.stream)
	if failed != nil {
		return failed
	}
	if answer.Streamed {
		x.stream.finish()
		return nil
	}
	h.writeAnswer(x, answer, "application/json")
	return nil
}

// request returns a request to the dispatcher without its model or service call.
func (h *handler) request(x *exchange, body []byte) *dispatch.Request {
	return &dispatch.Request{
		ID:          x.id,
		Team:        x.account.Team,
		Account:     x.account.Name,
		Class:       x.class,
		Priority:    priority(x.class),
		Fingerprint: strike.Fingerprint(x.account.Team+"/"+x.account.Name, body),
	}
}

func parseChat(body []byte) (*chatRequest, *failure) {
	if !utf8.Valid(body) {
		return nil, refuse(CodeBadRequest, "the body is not UTF-8")
	}
	chat := &chatRequest{}
	if err := json.Unmarshal(body, chat); err != nil {
		return nil, refuse(CodeBadRequest, "the body is not a chat completion: "+err.Error())
	}
	if chat.Model == "" {
		return nil, refuse(CodeBadRequest, "field model: want the name of a workload")
	}
	if len(chat.Messages) == 0 {
		return nil, refuse(CodeBadRequest, "field messages: want at least one message")
	}
	return chat, nil
}

const maxSharedParts = 64 // of a prompt

// sharedParts identifies the messages that other requests may have as well: all but the
// last one.
func sharedParts(chat *chatRequest) []string {
	shared := chat.Messages[:min(len(chat.Messages)-1, maxSharedParts)]
	parts := make([]string, 0, len(shared))
	for _, message := range shared {
		parts = append(parts, strconv.FormatUint(rendezvous.Hash(message.Role, string(message.Content)), 16))
	}
	return parts
}

// prefixHash identifies a conversation by its messages up to and including the
// user's first one, which all later requests of the same conversation repeat.
func prefixHash(team string, chat *chatRequest) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(team))
	_, _ = h.Write([]byte(chat.Model))
	for _, message := range chat.Messages {
		_, _ = h.Write([]byte(message.Role))
		_, _ = h.Write(message.Content)
		if message.Role == "user" {
			break
		}
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// writeAnswer writes an answer that is not streamed. Content-Type is contentType
// unless the answer sets it.
func (h *handler) writeAnswer(x *exchange, answer *dispatch.Answer, contentType string) {
	h.closeWhileLeaving(x.w)
	header := x.w.Header()
	header.Set("Content-Type", contentType)
	for _, line := range answer.Headers {
		if isForwarded(line.GetName()) {
			header.Set(line.GetName(), line.GetValue())
		}
	}
	if answer.Replayed {
		header.Set("Idempotent-Replayed", "true")
	}
	control := http.NewResponseController(x.w)
	_ = control.SetWriteDeadline(time.Now().Add(h.bounds.WriteTimeout))
	if answer.Unframed {
		writeUnframed(x, answer)
	} else {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
		x.w.WriteHeader(answer.Status)
		_, _ = x.w.Write(answer.Body)
	}
	_ = control.SetWriteDeadline(time.Time{})
}

// writeUnframed writes an answer that may be cut. It ends for the caller as it did for the
// agent, with the connection; HTTP/2 knows no such end.
func writeUnframed(x *exchange, answer *dispatch.Answer) {
	endsWithConnection := x.r.ProtoMajor == 1
	if endsWithConnection {
		x.w.Header().Set("Transfer-Encoding", unframed.TransferEncoding)
		resetWhenClosed(x, true)
	}
	x.w.WriteHeader(answer.Status)
	if _, err := x.w.Write(answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	if endsWithConnection {
		resetWhenClosed(x, false)
	}
}

// resetWhenClosed aborts the answer if the connection cannot be set up for one that ends
// with it.
func resetWhenClosed(x *exchange, resets bool) {
	if err := unframed.ResetWhenClosed(x.r, resets); err != nil {
		panic(http.ErrAbortHandler)
	}
}
