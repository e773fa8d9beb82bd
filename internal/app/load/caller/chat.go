package caller

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const maxEventBytes = 1 << 20

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
}

type chatAnswer struct {
	Choices []struct {
		Delta        chatMessage `json:"delta"`
		Message      chatMessage `json:"message"`
		FinishReason *string     `json:"finish_reason"`
	} `json:"choices"`
}

func chatBody(request Request) []byte {
	body, err := json.Marshal(chatRequest{
		Model:     request.Workload,
		Messages:  []chatMessage{{Role: "user", Content: request.Content}},
		MaxTokens: request.Tokens,
		Stream:    request.Kind == ChatStream,
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return body
}

// chatText returns the text of an answer that is not streamed, and whether the
// answer is complete.
func chatText(body []byte) (string, bool) {
	var answer chatAnswer
	if json.Unmarshal(body, &answer) != nil || len(answer.Choices) == 0 {
		return "", false
	}
	return answer.Choices[0].Message.Content, answer.Choices[0].FinishReason != nil
}

// readStream reads server-sent events up to the [DONE] marker. The answer is
// complete only if a finish reason and the marker arrived.
func readStream(body io.Reader, start time.Time, outcome *Outcome) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	var text strings.Builder
	finished := false
	last := start
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			outcome.Complete = finished
			break
		}
		var event chatAnswer
		if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) == 0 {
			outcome.Err = errors.Errorf("event is not a chat completion chunk: %.80s", data)
			break
		}
		finished = finished || event.Choices[0].FinishReason != nil
		if event.Choices[0].Delta.Content == "" {
			continue
		}
		text.WriteString(event.Choices[0].Delta.Content)
		last = outcome.recordToken(start, last)
	}
	outcome.Text = text.String()
	if outcome.Err == nil && !outcome.Complete {
		outcome.Err = errors.Errorf("stream ended early after %d bytes of text: %v", text.Len(), scanner.Err())
	}
}

// recordToken records that a token has just arrived and returns the time.
func (o *Outcome) recordToken(start, last time.Time) time.Time {
	now := time.Now()
	if o.FirstToken == 0 {
		o.FirstToken = now.Sub(start)
	} else {
		o.Gaps = append(o.Gaps, now.Sub(last))
	}
	return now
}
