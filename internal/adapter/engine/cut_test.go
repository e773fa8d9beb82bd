package engine

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/adapter/rawanswer"
)

// complete makes one completion with an engine that answers with the given bytes, and reads
// the answer to its end.
func complete(t *testing.T, stream bool, answer rawanswer.Answer) (string, error) {
	t.Helper()
	server := rawanswer.NewServer(t, func(*http.Request) rawanswer.Answer { return answer })
	client := New("http://" + server.Address)
	defer client.Close()
	got, err := client.Complete(t.Context(), Completion{Body: []byte(`{}`), Stream: stream})
	if err != nil {
		return "", err
	}
	defer got.Close()
	data := ""
	for {
		piece, err := got.Next()
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
		data += string(piece.Data)
	}
}

// The content shows that an answer is cut, also where neither a length nor chunks do.
func TestAnswerThatIsCutAnywhereIsAnError(t *testing.T) {
	const whole = `{"choices":[{"message":{"content":"a"}}],"usage":{"completion_tokens":2}}`
	streamed := token + token + finish + done
	const lineEnd = 1 // the empty line after the last event is not needed
	for name, test := range map[string]struct {
		stream bool
		answer string
		spare  int // bytes without which the answer is whole
	}{
		"length":           {false, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole), 0},
		"chunks":           {false, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(whole), whole), 0},
		"neither":          {false, "HTTP/1.1 200 OK\r\n\r\n" + whole, 0},
		"HTTP/1.0":         {false, "HTTP/1.0 200 OK\r\n\r\n" + whole, 0},
		"stream, neither":  {true, "HTTP/1.1 200 OK\r\n\r\n" + streamed, lineEnd},
		"stream, HTTP/1.0": {true, "HTTP/1.0 200 OK\r\n\r\n" + streamed, lineEnd},
		"stream, length":   {true, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(streamed), streamed), lineEnd},
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(test.answer) - test.spare {
				for _, reset := range []bool{false, true} {
					data, err := complete(t, test.stream, rawanswer.Answer{Bytes: test.answer[:cut], Reset: reset})
					assert.Assert(t, err != nil, "cut at byte %d: %q", cut, data)
				}
			}
			_, err := complete(t, test.stream, rawanswer.Answer{Bytes: test.answer})
			assert.NilError(t, err)
		})
	}
}

func TestOrderWhoseAnswersHeadIsCutHasNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for cut := range len(head) {
		server := rawanswer.NewServer(t, func(*http.Request) rawanswer.Answer { return rawanswer.Answer{Bytes: head[:cut]} })
		client := New("http://" + server.Address)
		assert.Assert(t, client.Order(t.Context(), Order{}) != nil, "cut at byte %d", cut)
		client.Close()
	}
}
