package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// run is a request that a replica has begun to work on.
type run struct {
	attempt, replica string
	began            time.Time
	ended            time.Time // zero: still at work
	whole            bool      // else its connection was closed
}

// runs are the requests of all replicas.
type runs struct {
	mu  sync.Mutex
	all []*run
}

// replica is a stand-in of a replica: it serves a request as long as its connection is open.
type replica struct {
	id, service, zone, address string
	born                       int64
	store                      *store
	runs                       *runs
	first, gap                 time.Duration // until the first event of a stream, and between events
	events                     int           // of a stream; 0: the replica answers without a stream
	sequence                   int64
	engine                     *engine // nil: none
	server                     *http.Server
	mu                         sync.Mutex
	draining, gone             bool
}

// serve serves the replica at a free port of an address and writes its record now and then.
func (p *replica) serve(ip string) {
	p.begin(ip + ":0")
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			p.write()
		}
	}()
}

// begin begins an incarnation of the replica at an address.
func (p *replica) begin(address string) {
	listener := listen(address)
	server := &http.Server{Handler: p}
	p.mu.Lock()
	p.address, p.born, p.sequence, p.gone, p.server = listener.Addr().String(), time.Now().UnixMilli(), 0, false, server
	p.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	p.write()
}

// crash ends the running incarnation of the replica.
func (p *replica) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone = true
	_ = p.server.Close()
}

// write writes the replica's record, unless it is gone.
func (p *replica) write() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return
	}
	p.store.putJSON("keyed.servers", p.id, p.record())
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Instance-Id", p.id)
	if r.URL.Path == "/health" {
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	began := &run{attempt: attempt, replica: p.id, began: time.Now()}
	p.runs.mu.Lock()
	p.runs.all = append(p.runs.all, began)
	p.runs.mu.Unlock()
	log.add("replica %s gets %s %s %s (%d bytes)", p.id, attempt, r.Method, r.URL.Path, len(body))
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Server-Stamp", "stamp."+p.id+"."+attempt)
	answer := p.stream
	switch {
	case p.engine != nil:
		answer = p.generate
	case p.events == 0:
		answer = p.plain
	}
	whole := answer(w, r)
	p.runs.mu.Lock()
	began.ended, began.whole = time.Now(), whole
	p.runs.mu.Unlock()
	if whole {
		log.add("replica %s has answered %s", p.id, attempt)
	} else {
		log.add("replica %s drops %s, its connection was closed", p.id, attempt)
	}
}

// stream answers with a stream of events, and reports whether it is whole.
func (p *replica) stream(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	wait := p.first
	for id := 1; id <= p.events; id++ {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(wait):
		}
		wait = p.gap
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", id, id, r.Header.Get("Attempt-Id")); err != nil {
			return false
		}
		if http.NewResponseController(w).Flush() != nil {
			return false
		}
	}
	return true
}

// plain answers after p.first, and reports whether the answer is whole.
func (p *replica) plain(w http.ResponseWriter, r *http.Request) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(p.first):
	}
	_, err := fmt.Fprintf(w, "answer to %s", r.Header.Get("Attempt-Id"))
	return err == nil
}

// record returns the replica's next record.
func (p *replica) record() map[string]any {
	p.sequence++
	state := "ready"
	if p.draining {
		state = "draining"
	}
	return map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": 12, "state": state,
		"coldRemainingMs": 0, "sequence": p.sequence, "born": p.born,
	}
}
