package agent

import (
	"net/http"
	"sort"

	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/wire"
)

// sender is the method of a link stream that an answerWriter needs.
type sender interface {
	Send(m proto.Message) error
}

// answerWriter sends the frames of one answer, numbered in sequence. Each method
// with the name of a frame's body sends that frame.
type answerWriter struct {
	stream    sender
	requestID string
	load      func() *wire.Load
	sequence  int64
	frames    int64 // chunks sent
	bytes     int64 // body bytes sent
	position  int64 // tokens that the caller has received
	notRun    bool  // the call was refused
	holding   *holding
}

func (a *answerWriter) send(frame *wire.AnswerFrame) error {
	frame.RequestId = a.requestID
	frame.Sequence = a.sequence
	a.sequence++
	return a.stream.Send(frame)
}

func (a *answerWriter) admitted() error {
	return a.send(&wire.AnswerFrame{
		Body: &wire.AnswerFrame_Admitted{Admitted: &wire.Admitted{}},
		Load: a.load(),
	})
}

func (a *answerWriter) refused(refusal *wire.Refused) error {
	a.notRun = true
	return a.send(&wire.AnswerFrame{Body: &wire.AnswerFrame_Refused{Refused: refusal}, Load: a.load()})
}

func (a *answerWriter) head(status int, header http.Header, unframed bool) error {
	head := &wire.Head{Status: int32(status), Headers: wireHeaders(header), Unframed: unframed}
	return a.send(&wire.AnswerFrame{Body: &wire.AnswerFrame_Head{Head: head}})
}

func (a *answerWriter) chunk(data []byte, position int64) error {
	a.frames++
	a.bytes += int64(len(data))
	a.position = position
	chunk := &wire.Chunk{Data: data, Position: position}
	return a.send(&wire.AnswerFrame{Body: &wire.AnswerFrame_Chunk{Chunk: chunk}})
}

const chunkSize = 256 << 10 // bytes of an answer in one frame, except those of an event

// chunks sends a part of an answer that is not streamed, in several frames if it is large:
// a frame is copied as a whole at both ends of the link.
func (a *answerWriter) chunks(data []byte, position int64) error {
	for len(data) > 0 {
		size := min(len(data), chunkSize)
		if err := a.chunk(data[:size], position); err != nil {
			return err
		}
		data = data[size:]
	}
	return nil
}

func (a *answerWriter) final(replayed bool) error {
	final := &wire.Final{Frames: a.frames, Bytes: a.bytes, Tokens: a.position, Replayed: replayed}
	return a.send(&wire.AnswerFrame{Body: &wire.AnswerFrame_Final{Final: final}, Load: a.load()})
}

func (a *answerWriter) failed(failure *wire.Failed) error {
	return a.send(&wire.AnswerFrame{Body: &wire.AnswerFrame_Failed{Failed: failure}, Load: a.load()})
}

// hopByHop lists the headers that are not relayed, since they concern one
// connection only.
var hopByHop = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	"Content-Length":    true,
	"X-Incarnation":     true, // of the engine, for its agent only
}

func wireHeaders(header http.Header) []*wire.Header {
	var headers []*wire.Header
	for name, values := range header {
		if hopByHop[name] {
			continue
		}
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	sort.SliceStable(headers, func(i, j int) bool { return headers[i].GetName() < headers[j].GetName() })
	return headers
}

func httpHeaders(headers []*wire.Header) http.Header {
	header := make(http.Header, len(headers))
	for _, h := range headers {
		if name := http.CanonicalHeaderKey(h.GetName()); !hopByHop[name] {
			header.Add(name, h.GetValue())
		}
	}
	return header
}
