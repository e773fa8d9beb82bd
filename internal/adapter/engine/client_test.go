package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/adapter/repeating"
)

const (
	token  = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	finish = `data: {"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"completion_tokens":2}}` + "\n\n"
	done   = "data: [DONE]\n\n"
)

// readStream reads a streamed completion from an engine that answers with body.
func readStream(t testing.TB, body string) (string, int64, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	client := New(server.URL)
	defer client.Close()
	answer, err := client.Complete(context.Background(), Completion{Body: []byte(`{}`), Stream: true})
	assert.NilError(t, err)
	defer answer.Close()
	var data strings.Builder
	var position int64
	for {
		piece, err := answer.Next()
		if err != nil {
			return data.String(), position, err
		}
		data.Write(piece.Data)
		position = piece.Position
	}
}

func TestStreamIsCompleteOnlyWithFinishReasonAndDone(t *testing.T) {
	cases := map[string]struct {
		body string
		want error
	}{
		"whole":              {token + token + finish + done, io.EOF},
		"cut after token":    {token + token, ErrTruncated},
		"cut in a line":      {token + token + `data: {"choi`, ErrTruncated},
		"no done":            {token + token + finish, ErrTruncated},
		"done, no finish":    {token + token + done, ErrTruncated},
		"token after finish": {token + token + finish + token + done, ErrMalformed},
		"not JSON":           {token + token + "data: {\n\n", ErrMalformed},
		"engine error":       {token + token + `data: {"error":{"message":"x"}}` + "\n\n", ErrTruncated},
		"huge line":          {token + token + "data: " + strings.Repeat("x", maxLineBytes+1), ErrMalformed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			data, position, err := readStream(t, c.body)
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			assert.Equal(t, position, int64(2))
			assert.Assert(t, strings.HasPrefix(data, token+token))
		})
	}
}

func TestAnswerThatTheEngineRepeatsIsNotThatOfTheNextCall(t *testing.T) {
	server := repeating.NewServer(t, `{"usage":{"completion_tokens":1}}`)
	client := New(server.URL)
	defer client.Close()
	for i, want := range []int{http.StatusServiceUnavailable, http.StatusOK, http.StatusOK} {
		answer, err := client.Complete(t.Context(), Completion{Body: []byte(`{}`)})
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, want, "call %d", i)
		_, err = answer.Next()
		assert.NilError(t, err)
		answer.Close()
		assert.NilError(t, client.Order(t.Context(), Order{}))
	}
}

func TestEncodeReplacesOnlyEngineFields(t *testing.T) {
	body, err := Completion{Body: []byte(`{"model":"w","temperature":0.5,"resume_from":9}`), Model: "m", Priority: 3}.encode()
	assert.NilError(t, err)
	assert.Equal(t, string(body), `{"model":"m","priority":3,"stream":false,"temperature":0.5}`)
}

func FuzzStream(f *testing.F) {
	f.Add(token + finish + done)
	f.Add(token + done)
	f.Add("data: {\n\n")
	f.Add("data:\n\n: comment\n\nevent: x\ndata: [DONE]\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		data, position, err := readStream(t, body)
		if errors.Is(err, io.EOF) {
			assert.Assert(t, strings.Contains(body, "[DONE]"), "a stream without [DONE] was taken as complete")
			assert.Assert(t, strings.Contains(data, "finish_reason"))
		}
		assert.Assert(t, position <= int64(strings.Count(data, "data: ")), fmt.Sprint(err))
	})
}
