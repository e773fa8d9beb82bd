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
	"quetzalbend/internal/body"
	"quetzalbend/internal/core/memory"
)

const (
	maxLineBytes   = 1 << 20 // bytes of one line of a stream
	keptLineBytes  = 4 << 10 // of the buffer for the next line
	lineGrowth     = 2
	lineCopies     = 2                      // the line and the event made of it
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
	length   int64 // of the body; negative: unknown
	body     io.ReadCloser
	reader   *bufio.Reader
	memory   *memory.Reservation
	line     []byte // buffer of the line that is read
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
		length:   response.ContentLength,
		body:     response.Body,
		memory:   completion.Memory,
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
// ErrTruncated, ErrMalformed or body.ErrNoMemory in its chain. Each piece of a stream holds one event
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
	from := http.MaxBytesReader(nil, io.NopCloser(a.reader), maxAnswerBytes)
	data, err := body.Read(from, min(a.length, maxAnswerBytes+1), maxAnswerBytes, a.memory)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, body.ErrNoMemory):
		return Piece{}, errors.Wrapf(err, "read answer of engine %s", a.peer)
	case errors.As(err, &tooLarge):
		return Piece{}, errors.Wrapf(ErrMalformed, "answer of engine %s is over %d bytes", a.peer, maxAnswerBytes)
	case err != nil:
		return Piece{}, errors.Wrapf(ErrTruncated, "read answer of engine %s: %v", a.peer, err)
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

// readLine returns the next line without its line end. It is valid until the next call.
func (a *Answer) readLine() ([]byte, error) {
	a.resetLine()
	for {
		part, err := a.reader.ReadSlice('\n')
		if errAdd := a.addToLine(part); errAdd != nil {
			return nil, errAdd
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, errors.Wrapf(ErrTruncated, "read event of engine %s: %v", a.peer, err)
		}
		if err == nil {
			return bytes.TrimRight(a.line, "\r\n"), nil
		}
	}
}

// resetLine empties the buffer, and gives a large one back.
func (a *Answer) resetLine() {
	if cap(a.line) > keptLineBytes {
		a.memory.Shrink(lineCopies * int64(cap(a.line)))
		a.line = nil
	}
	a.line = a.line[:0]
}

func (a *Answer) addToLine(part []byte) error {
	size := len(a.line) + len(part)
	if size > maxLineBytes {
		return errors.Wrapf(ErrMalformed, "event of engine %s is over %d bytes", a.peer, maxLineBytes)
	}
	if size > cap(a.line) {
		size = max(lineGrowth*cap(a.line), size)
		if !a.memory.TryGrow(lineCopies * int64(size)) {
			return errors.Wrapf(body.ErrNoMemory, "read event of engine %s", a.peer)
		}
		larger := append(make([]byte, 0, size), a.line...)
		a.memory.Shrink(lineCopies * int64(cap(a.line)))
		a.line = larger
	}
	a.line = append(a.line, part...)
	return nil
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
