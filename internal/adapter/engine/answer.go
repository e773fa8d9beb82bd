package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/unframed"
)

const (
	maxLineBytes   = 1 << 20                // bytes of one line of a stream
	readBufferSize = 64 << 10               // bytes
	bodyEndTimeout = 100 * time.Millisecond // to wait for the end of the body after a complete answer
)

// Piece is a part of an answer's body.
type Piece struct {
	Data     []byte
	Position int64 // number of tokens of the answer up to the end of this piece
}

// Answer is the answer to one completion.
type Answer struct {
	Status int
	Header http.Header
	// Unframed is set if only the end of the connection ends an answer that is not
	// streamed. One with status 200 is checked by its content besides.
	Unframed bool

	peer     string // base URL of the engine
	stream   bool
	body     io.ReadCloser
	reader   *bufio.Reader
	position int64
	finished bool // the event with the finish reason was received
	done     bool // the answer was received completely
}

func newAnswer(response *http.Response, peer string, completion Completion) *Answer {
	return &Answer{
		Status:   response.StatusCode,
		Header:   response.Header,
		Unframed: !unframed.IsFramed(response),
		peer:     peer,
		stream:   completion.Stream && response.StatusCode == http.StatusOK,
		body:     response.Body,
		reader:   bufio.NewReaderSize(response.Body, readBufferSize),
		position: completion.ResumeFrom,
	}
}

// Close ends the answer and cancels an unfinished request at the engine. After a
// complete answer it waits up to bodyEndTimeout for the end of the body, so that
// the engine has released the request and the connection can be reused.
func (a *Answer) Close() {
	if a.done {
		timer := time.AfterFunc(bodyEndTimeout, func() { _ = a.body.Close() })
		_, _ = io.CopyN(io.Discard, a.reader, readBufferSize)
		timer.Stop()
	}
	_ = a.body.Close()
}

// Next returns the next piece, io.EOF after a complete answer, or an error with
// ErrTruncated or ErrMalformed in its chain. Each piece of a stream holds one event
// and therefore at most one token.
func (a *Answer) Next() (Piece, error) {
	switch {
	case a.done:
		return Piece{}, io.EOF
	case a.stream:
		return a.nextEvent()
	default:
		return a.readWhole()
	}
}

// readWhole reads the whole body of an answer that is not streamed.
func (a *Answer) readWhole() (Piece, error) {
	data, err := io.ReadAll(io.LimitReader(a.reader, maxAnswerBytes+1))
	if err != nil {
		return Piece{}, errors.Wrapf(ErrTruncated, "read answer of engine %s: %v", a.peer, err)
	}
	if len(data) > maxAnswerBytes {
		return Piece{}, errors.Wrapf(ErrMalformed, "answer of engine %s is over %d bytes", a.peer, maxAnswerBytes)
	}
	a.done = true
	if a.Status != http.StatusOK {
		return Piece{Data: data}, nil
	}
	var answer struct {
		Usage struct {
			CompletionTokens int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return Piece{}, errors.Wrapf(ErrMalformed, "decode answer of engine %s: %v", a.peer, err)
	}
	return Piece{Data: data, Position: answer.Usage.CompletionTokens}, nil
}

// nextEvent returns the next event in the form in which the caller gets it. The
// [DONE] event ends the answer and is not returned.
func (a *Answer) nextEvent() (Piece, error) {
	for {
		line, err := a.readLine()
		if err != nil {
			return Piece{}, err
		}
		data, isData := bytes.CutPrefix(line, []byte("data:"))
		if !isData {
			continue // blank lines, comments and fields that callers do not need
		}
		data = bytes.TrimSpace(data)
		if err := a.processEvent(data); err != nil {
			return Piece{}, err
		}
		if a.done {
			return Piece{}, io.EOF
		}
		event := make([]byte, 0, len(data)+len("data: \n\n"))
		event = append(event, "data: "...)
		event = append(event, data...)
		event = append(event, "\n\n"...)
		return Piece{Data: event, Position: a.position}, nil
	}
}

// readLine returns the next line without its line end.
func (a *Answer) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := a.reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLineBytes {
			return nil, errors.Wrapf(ErrMalformed, "event of engine %s is over %d bytes", a.peer, maxLineBytes)
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, errors.Wrapf(ErrTruncated, "read event of engine %s: %v", a.peer, err)
		}
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
	}
}

// event is one server-sent event of a chat completion.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// processEvent checks the data of one event and updates position, finished and
// done.
func (a *Answer) processEvent(data []byte) error {
	if string(data) == "[DONE]" {
		if !a.finished {
			return errors.Wrapf(ErrTruncated, "engine %s ended the stream without a finish reason", a.peer)
		}
		a.done = true
		return nil
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return errors.Wrapf(ErrMalformed, "decode event of engine %s: %v", a.peer, err)
	}
	if len(e.Error) > 0 && string(e.Error) != "null" {
		return errors.Wrapf(ErrTruncated, "engine %s ended the stream with an error", a.peer)
	}
	if len(e.Choices) == 0 {
		return nil // an event that holds only usage
	}
	choice := e.Choices[0]
	if choice.Delta.Content != "" {
		if a.finished {
			return errors.Wrapf(ErrMalformed, "engine %s sent a token after the finish reason", a.peer)
		}
		a.position++
	}
	a.finished = a.finished || choice.FinishReason != ""
	return nil
}
