package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// streamer stands in for a sound model replica that answers with a stream of events. A request
// whose body says so crashes it while it runs: its listener and its connections are gone or, if it
// goes dark, say nothing any more.
type streamer struct {
	id, service, zone string
	events            int
	gap               time.Duration
	crashAfter        int // events of a request that crashes replicas, before the crash
	dark              bool
	record            *record
	store             *store
	born              int64
	listener          net.Listener
	server            *http.Server
	crashed           func(*streamer)

	mu       sync.Mutex
	sequence int64
	down     bool
	conns    map[net.Conn]bool
}

const (
	poison  = "poison"
	darkFor = 30 * time.Second // until the connections of a dark replica are closed
)

func newStreamer(rec *record, st *store, id, service, zone string, crashAfter int, dark bool, crashed func(*streamer)) (*streamer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &streamer{
		id: id, service: service, zone: zone, events: 26, gap: 20 * time.Millisecond, crashAfter: crashAfter, dark: dark, record: rec, store: st,
		born: time.Now().UnixMilli(), listener: listener, crashed: crashed, conns: make(map[net.Conn]bool),
	}
	s.server = &http.Server{Handler: s, ConnState: s.watch}
	go func() { _ = s.server.Serve(listener) }()
	go func() {
		for s.beat() {
			time.Sleep(heartbeat)
		}
		time.Sleep(2 * heartbeat) // three intervals after the last heartbeat, the store removes the entry
		s.store.put("keyed.servers", s.id, nil)
	}()
	return s, nil
}

func (s *streamer) watch(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed {
		delete(s.conns, conn)
	} else {
		s.conns[conn] = true
	}
}

func (s *streamer) beat() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": 12,
		"state": "ready", "coldRemainingMs": 0, "sequence": s.sequence, "born": s.born,
	})
	s.store.put("keyed.servers", s.id, value)
	return true
}

// crash ends the replica as the end of its process does.
func (s *streamer) crash(by string) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	s.mu.Unlock()
	s.record.crash(s.id, by)
	if s.dark {
		time.AfterFunc(darkFor, func() { _ = s.server.Close() })
	} else {
		_ = s.server.Close()
	}
	s.crashed(s)
}

func (s *streamer) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *streamer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if s.isDown() {
		time.Sleep(darkFor)
		return
	}
	id := request.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	crashes := strings.HasPrefix(string(body), poison)
	if crashes {
		s.record.arrived(id, s.id, -1, true)
	}
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	w.Header().Set("Server-Stamp", s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for sent, event := 0, last+1; event <= s.events; sent, event = sent+1, event+1 {
		if crashes && sent == s.crashAfter {
			s.crash(id)
		}
		if s.isDown() {
			if s.dark {
				time.Sleep(darkFor)
			}
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", event, event)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(s.gap):
		case <-request.Context().Done():
			return
		}
	}
}
