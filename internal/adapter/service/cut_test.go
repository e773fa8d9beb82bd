package service

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/adapter/rawanswer"
)

// ask makes one call to a service that answers with the given bytes.
func ask(t *testing.T, answer rawanswer.Answer) (Answer, error) {
	t.Helper()
	server := rawanswer.NewServer(t, func(*http.Request) rawanswer.Answer { return answer })
	return New("http://"+server.Address).Do(t.Context(), Call{Method: http.MethodPost, Path: "/", Key: "k"})
}

func TestAnswerThatIsCutAnywhereIsAnError(t *testing.T) {
	const body = "an answer"
	length := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\n" + body
	for name, whole := range map[string]string{
		"length":                          length,
		"length, HTTP/1.0":                strings.Replace(length, "1.1", "1.0", 1),
		"length, lines end with LF":       strings.ReplaceAll(length, "\r\n", "\n"),
		"length, after an interim answer": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + length,
		"chunks":                          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n" + body + "\r\n0\r\n\r\n",
		"chunks and trailers":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n" + body + "\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(whole) {
				for _, reset := range []bool{false, true} {
					answer, err := ask(t, rawanswer.Answer{Bytes: whole[:cut], Reset: reset})
					assert.Assert(t, err != nil, "cut at byte %d: %d %q", cut, answer.Status, answer.Body)
				}
			}
			answer, err := ask(t, rawanswer.Answer{Bytes: whole})
			assert.NilError(t, err)
			assert.Equal(t, string(answer.Body), body)
			assert.Assert(t, !answer.Unframed)
		})
	}
}

func TestAnswerThatEndsWithItsConnectionIsMarked(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, body := range []string{"", "half"} {
			t.Run(version+" "+body, func(t *testing.T) {
				answer, err := ask(t, rawanswer.Answer{Bytes: version + " 200 OK\r\n\r\n" + body})
				assert.NilError(t, err)
				assert.Equal(t, string(answer.Body), body)
				assert.Assert(t, answer.Unframed)
				_, err = ask(t, rawanswer.Answer{Bytes: version + " 200 OK\r\n\r\n" + body, Reset: true})
				assert.Assert(t, err != nil)
			})
		}
	}
}

func TestStatusThatIsNoneIsAnError(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 999} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			answer, err := ask(t, rawanswer.Answer{Bytes: fmt.Sprintf("HTTP/1.1 %03d OK\r\nContent-Length: 4\r\n\r\nhalf", status)})
			assert.Assert(t, err != nil, "%d %q", answer.Status, answer.Body)
		})
	}
}
