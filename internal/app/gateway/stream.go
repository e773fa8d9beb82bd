package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/unframed"
	"quetzalbend/internal/body"
	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/eventlog"
)

// streamPosition is how much of a stream the caller has received.
type streamPosition struct {
	started   bool
	last      int64 // id of the last event relayed; 0: none
	anonymous bool  // an event without an id was relayed, so that the stream cannot be resumed
}

// advances reports whether an event takes the stream further: the events of a stream
// have increasing ids, or none at all.
func (p streamPosition) advances(e event) bool {
	return e.id > p.last || p.last == 0 && e.hasData
}

// streamProgress is how far one attempt has taken a stream.
type streamProgress struct {
	events int // that took the stream further
	filler int // bytes since the last of them
}

// add adds an event. It returns errNoProgress if the stream sends too much without going
// on, and errForeign if the event, such as the text of an error, is none of the stream's.
func (p *streamProgress) add(e event, position streamPosition) error {
	if position.last > 0 && e.id == 0 && e.hasFields {
		return errForeign
	}
	p.filler += len(e.raw)
	if position.advances(e) {
		p.filler = 0
		p.events++
	}
	if p.filler > maxFillerBytes {
		return errNoProgress
	}
	return nil
}

const (
	eventBuffer    = 4 << 10 // bytes
	eventGrowth    = 2
	keptEventBytes = 8 << 10 // of the buffer for the next event
	// maxFillerBytes limits an event, and what a stream sends between two events that take
	// it further.
	maxFillerBytes = 256 << 10
	// answeredEvents is the number of events that show that a target goes on after the
	// beginning of an answer.
	answeredEvents = 2
)

// event is one complete event of a stream, byte for byte as received.
type event struct {
	raw       []byte
	id        int64 // 0: none
	hasData   bool
	hasFields bool // it holds more than comments
}

var (
	errCutEvent   = errors.New("stream ends within an event")
	errLongEvent  = errors.Errorf("event is over %d bytes", maxFillerBytes)
	errForeign    = errors.New("event without an id in a stream of events with ids")
	errNoProgress = errors.Errorf("stream sends over %d bytes without a new event", maxFillerBytes)
)

// eventReader splits a stream into complete events.
type eventReader struct {
	from     *bufio.Reader
	reserved *memory.Reservation
	raw      []byte // buffer of the event that is read
}

// newEventReader returns a reader that reserves the memory of events. That of its own
// buffer of eventBuffer bytes is reserved already.
func newEventReader(from io.Reader, reserved *memory.Reservation) *eventReader {
	return &eventReader{from: bufio.NewReaderSize(from, eventBuffer), reserved: reserved}
}

// next returns the next complete event, or io.EOF if the stream ended after a
// complete event. The event is valid until the next call.
func (r *eventReader) next() (event, error) {
	var e event
	r.reset()
	for {
		line, err := r.line()
		if err != nil {
			if errors.Is(err, io.EOF) && len(r.raw) > 0 {
				return event{}, errCutEvent
			}
			return event{}, err
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			e.raw = r.raw
			return e, nil
		}
		if value, found := bytes.CutPrefix(content, []byte("id:")); found {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return event{}, errors.Wrap(err, "invalid event id")
			}
			e.id = id
		}
		e.hasData = e.hasData || bytes.HasPrefix(content, []byte("data"))
		e.hasFields = e.hasFields || content[0] != ':'
	}
}

// reset empties the buffer, and gives a large one back.
func (r *eventReader) reset() {
	if cap(r.raw) > keptEventBytes {
		r.reserved.Shrink(int64(cap(r.raw)))
		r.raw = nil
	}
	r.raw = r.raw[:0]
}

// line adds the next line to the event and returns it.
func (r *eventReader) line() ([]byte, error) {
	begin := len(r.raw)
	for {
		part, err := r.from.ReadSlice('\n')
		if errGrow := r.add(part); errGrow != nil {
			return nil, errGrow
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.raw[begin:], err
		}
	}
}

// add appends a part of a line to the event.
func (r *eventReader) add(part []byte) error {
	size := len(r.raw) + len(part)
	if size > maxFillerBytes {
		return errLongEvent
	}
	if size > cap(r.raw) {
		size = min(max(eventGrowth*cap(r.raw), size, eventBuffer), maxFillerBytes)
		if !r.reserved.TryGrow(int64(size)) {
			return body.ErrNoMemory
		}
		larger := append(make([]byte, 0, size), r.raw...)
		r.reserved.Shrink(int64(cap(r.raw)))
		r.raw = larger
	}
	r.raw = append(r.raw, part...)
	return nil
}

// relay sends a stream's events to the caller as they arrive.
func (x *exchange) relay(response *http.Response, target string, watch *watchdog) outcome {
	reader := newEventReader(response.Body, x.answer)
	begun := false
	var progress streamProgress
	for {
		next, err := reader.next()
		if errors.Is(err, io.EOF) && (progress.events > 0 || x.maybeComplete(response)) {
			return x.finishStream(response)
		}
		if err == nil {
			err = progress.add(next, x.stream)
		}
		if progress.events >= answeredEvents {
			x.recordAnswered()
		}
		if err != nil {
			return x.streamBroken(err, target, begun, watch)
		}
		now := time.Now()
		watch.recordStreamEvent(now)
		x.run.Sign(now)
		x.gateway.loads.recordEvent(target, now)
		if next.id > 0 && next.id <= x.stream.last {
			continue // the caller already has it
		}
		if next.id > x.stream.last+1 && x.stream.last > 0 {
			return cut // an event is missing
		}
		if !begun {
			begun = true
			x.startStream(response)
		}
		if err := x.writeEvent(next); err != nil {
			return x.callerLeft()
		}
	}
}

// streamBroken returns the outcome of an attempt whose stream has failed. begun reports
// whether events of this attempt were relayed.
func (x *exchange) streamBroken(err error, target string, begun bool, watch *watchdog) outcome {
	x.gateway.log.Decision("stream broken", eventlog.Fields{"request": x.caller.RequestID, "target": target, "error": err.Error()})
	broken := x.brokenOutcome(err, watch)
	if broken == unknown && begun {
		return cut
	}
	return broken
}

// writeEvent sends an event to the caller.
func (x *exchange) writeEvent(e event) error {
	if _, err := x.writer.Write(e.raw); err != nil {
		return err
	}
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		return err
	}
	if e.id > 0 {
		x.stream.last = e.id
	}
	x.stream.anonymous = x.stream.anonymous || e.id == 0 && e.hasData
	return nil
}

// maybeComplete reports whether an answer without events may be a whole one: that of a
// caller who has had all events, if its end is marked.
func (x *exchange) maybeComplete(response *http.Response) bool {
	return unframed.IsFramed(response) && x.caller.LastEvent > 0 && !x.stream.started
}

// startStream sends the caller the headers of the first target that answered.
func (x *exchange) startStream(from *http.Response) {
	if x.stream.started {
		return
	}
	x.stream.started = true
	x.startAnswer(http.StatusOK, from.Header, unframed.IsFramed(from), -1)
	x.observeFirstEvent()
}

func (x *exchange) finishStream(response *http.Response) outcome {
	x.startStream(response)
	if x.finishAnswer() != nil {
		return x.callerLeft()
	}
	x.observeLatency()
	x.logOutcome("streamed", http.StatusOK)
	return delivered
}

// callerLeft aborts a stream whose caller has disconnected.
func (x *exchange) callerLeft() outcome {
	x.logOutcome("caller_left", http.StatusOK)
	panic(http.ErrAbortHandler)
}
