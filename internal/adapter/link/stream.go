package link

import (
	"bufio"
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Stream is a bidirectional stream of messages. One goroutine may receive while
// others send.
type Stream struct {
	peer         string
	conn         *yamux.Stream
	reader       *bufio.Reader
	writeTimeout time.Duration

	sendLock sync.Mutex
	buffer   bytes.Buffer // of the message being sent
}

func newStream(conn *yamux.Stream, peer string, writeTimeout time.Duration) *Stream {
	return &Stream{
		peer:         peer,
		conn:         conn,
		reader:       bufio.NewReaderSize(conn, readBufferSize),
		writeTimeout: writeTimeout,
	}
}

// Peer returns the address of the other end.
func (s *Stream) Peer() string { return s.peer }

// Send writes one message. After an error the peer may still have received it.
func (s *Stream) Send(m proto.Message) error {
	s.sendLock.Lock()
	defer s.sendLock.Unlock()
	s.buffer.Reset()
	if _, err := protodelim.MarshalTo(&s.buffer, m); err != nil {
		return errors.Wrapf(err, "encode message for %s", s.peer)
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return errors.Wrapf(err, "send to %s", s.peer)
	}
	if _, err := s.conn.Write(s.buffer.Bytes()); err != nil {
		return errors.Wrapf(err, "send to %s", s.peer)
	}
	return nil
}

// Receive reads the next message into m. It returns io.EOF after the peer has
// closed the stream between two messages.
func (s *Stream) Receive(m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageSize}
	err := options.UnmarshalFrom(s.reader, m)
	if err == nil || err == io.EOF { //nolint:errorlint // the error of a truncated message wraps io.EOF or io.ErrUnexpectedEOF
		return err
	}
	return errors.Wrapf(err, "receive from %s", s.peer)
}

// SetDeadline sets the deadline of all later receives; the zero time means none.
func (s *Stream) SetDeadline(t time.Time) error {
	return s.conn.SetReadDeadline(t)
}

// Close ends the stream at this end. The peer's Receive returns io.EOF.
func (s *Stream) Close() error { return s.conn.Close() }
