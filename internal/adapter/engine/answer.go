package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

const (
	maxLine  = 1 << 20  // bytes of one line of a stream
	maxPiece = 64 << 10 // bytes of events that are handed on together
)

// Piece is a part of an answer's body.
type Piece struct {
	Data     []byte
	Position int64 // tokens of the answer up to and with this piece
}

// Answer is the answer to one completion.
type Answer struct {
	Status int
	Header http.Header

	peer     string
	stream   bool
	body     io.ReadCloser
	reader   *bufio.Reader
	position int64
	finished bool  // the event with the finish reason has come
	done     bool  // the body has come to its proper end
	failure  error // found behind events that are handed on first
}

func newAnswer(response *http.Response, peer string, completion Completion) *Answer {
	return &Answer{
		Status:   response.StatusCode,
		Header:   response.Header,
		peer:     peer,
		stream:   completion.Stream && response.StatusCode == http.StatusOK,
		body:     response.Body,
		reader:   bufio.NewReaderSize(response.Body, maxPiece),
		position: completion.ResumeFrom,
	}
}

// Close ends the answer; an unfinished request is cancelled at the engine.
func (a *Answer) Close() { _ = a.body.Close() }

// Next returns the next piece, io.EOF after a whole answer, or an error with
// ErrCut or ErrMalformed in its chain. Events that arrive together come as one
// piece.
func (a *Answer) Next() (Piece, error) {
	switch {
	case a.failure != nil:
		return Piece{}, a.failure
	case a.done:
		return Piece{}, io.EOF
	case a.stream:
		return a.nextEvents()
	default:
		return a.whole()
	}
}

// whole reads a body that is not streamed.
func (a *Answer) whole() (Piece, error) {
	data, err := io.ReadAll(io.LimitReader(a.reader, maxWholeAnswer+1))
	if err != nil {
		return Piece{}, errors.Wrapf(ErrCut, "read answer of engine %s: %v", a.peer, err)
	}
	if len(data) > maxWholeAnswer {
		return Piece{}, errors.Wrapf(ErrMalformed, "answer of engine %s is over %d bytes", a.peer, maxWholeAnswer)
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

// nextEvents returns the next event and those that have arrived with it.
func (a *Answer) nextEvents() (Piece, error) {
	var piece Piece
	for {
		event, err := a.nextEvent()
		if err != nil {
			if len(piece.Data) == 0 {
				return Piece{}, err
			}
			a.failure = err
			break
		}
		piece.Data = append(piece.Data, event...)
		if a.done || len(piece.Data) >= maxPiece || !a.hasEvent() {
			break
		}
	}
	piece.Position = a.position
	return piece, nil
}

// hasEvent reports whether a whole event can be read without waiting.
func (a *Answer) hasEvent() bool {
	buffered, err := a.reader.Peek(a.reader.Buffered())
	return err == nil && bytes.Contains(bytes.TrimLeft(buffered, "\r\n"), []byte("\n\n"))
}

// nextEvent reads one event and returns it as it goes to the caller.
func (a *Answer) nextEvent() ([]byte, error) {
	for {
		line, err := a.readLine()
		if err != nil {
			return nil, err
		}
		data, isData := bytes.CutPrefix(line, []byte("data:"))
		if !isData {
			continue // blank lines, comments and fields that callers do not need
		}
		data = bytes.TrimSpace(data)
		if err := a.accept(data); err != nil {
			return nil, err
		}
		event := append([]byte("data: "), data...)
		return append(event, "\n\n"...), nil
	}
}

func (a *Answer) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := a.reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLine {
			return nil, errors.Wrapf(ErrMalformed, "event of engine %s is over %d bytes", a.peer, maxLine)
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, errors.Wrapf(ErrCut, "read event of engine %s: %v", a.peer, err)
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

// accept checks the data of one event and follows the state of the stream.
func (a *Answer) accept(data []byte) error {
	if string(data) == "[DONE]" {
		if !a.finished {
			return errors.Wrapf(ErrCut, "engine %s ended the stream without a finish reason", a.peer)
		}
		a.done = true
		return nil
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return errors.Wrapf(ErrMalformed, "decode event of engine %s: %v", a.peer, err)
	}
	if len(e.Error) > 0 && string(e.Error) != "null" {
		return errors.Wrapf(ErrCut, "engine %s ended the stream with an error", a.peer)
	}
	if len(e.Choices) == 0 {
		return nil // usage only
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
