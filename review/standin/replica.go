package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// replica stands in for a sound replica of a plain service.
type replica struct {
	id, service, zone string
	slots             int
	work              time.Duration
	record            *record
	store             *store
	born              int64
	listener          net.Listener
	server            *http.Server

	mu       sync.Mutex
	sequence int64
	running  int
	leftAt   time.Time // when the store accepted that the replica leaves; zero: not yet
	stop     chan struct{}
}

func newReplica(rec *record, st *store, id, service, zone string, slots int, work time.Duration) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, zone: zone, slots: slots, work: work, record: rec, store: st,
		born: time.Now().UnixMilli(), listener: listener, stop: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r}
	r.server.SetKeepAlivesEnabled(true)
	go func() { _ = r.server.Serve(listener) }()
	r.beat()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				r.beat()
			case <-r.stop:
				return
			}
		}
	}()
	return r, nil
}

// beat writes the replica's entry, unless it leaves.
func (r *replica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leftAt.IsZero() {
		return
	}
	r.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	})
	r.store.put("keyed.servers", r.id, value)
}

// leave removes the replica's entry, as a replica does that never reports that it drains. It
// serves on for some time and then exits.
func (r *replica) leave(serveOn time.Duration) {
	r.mu.Lock()
	r.leftAt = time.Now()
	r.store.put("keyed.servers", r.id, nil)
	r.mu.Unlock()
	close(r.stop)
	r.record.add("leaving acknowledged", r.id)
	time.AfterFunc(serveOn, func() {
		r.record.add("exits", r.id)
		_ = r.server.Close()
	})
}

func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	full := r.running >= r.slots
	if !full {
		r.running++
	}
	left := r.leftAt
	r.mu.Unlock()
	since := time.Duration(-1)
	if !left.IsZero() {
		since = time.Since(left)
	}
	r.record.arrived(id, r.id, since, !full)
	if full {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	time.Sleep(r.work)
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	w.Header().Set("Server-Stamp", r.id+"."+id)
	fmt.Fprintf(w, "done by %s for %s\n", r.id, id)
}
