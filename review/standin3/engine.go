package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the engine. The times of reading and the events are those of the site's sheet.
const (
	engineSlots  = 6
	enginePrompt = 40000 // tokens of each prompt
	engineChunk  = 6     // tokens of an event
	engineGap    = 60 * time.Millisecond
	engineEvents = 60
	readPerMs    = 74.8
	pairsMsPerM  = 0.232
	// engineFull is the number of events of the newest stream at which the memory of a replica
	// runs out whose slots are all taken, engineRoom the time until there is room again, and
	// enginePause the least time between two preemptions.
	engineFull  = 3
	engineRoom  = 950 * time.Millisecond
	enginePause = 300 * time.Millisecond
)

// engine runs engineSlots streams of a replica at once and rejects others. When memory runs
// out, the newest stream is preempted and later read again.
type engine struct {
	mu        sync.Mutex
	running   []*stream
	preempted time.Time // when the last one was preempted
}

// stream is a stream that runs.
type stream struct{ events int }

// readTime returns how long it takes to read so many tokens.
func readTime(tokens int) time.Duration {
	n := float64(tokens)
	ms := n/readPerMs + n*n/2/1e6*pairsMsPerM
	return time.Duration(ms * float64(time.Millisecond))
}

// begin takes a slot, and reports whether there is one.
func (e *engine) begin() (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) >= engineSlots {
		return nil, false
	}
	s := &stream{}
	e.running = append(e.running, s)
	return s, true
}

func (e *engine) end(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.running {
		if e.running[i] == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}

// grow counts an event of a stream, and reports whether the stream is preempted.
func (e *engine) grow(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.events++
	var newest *stream // that has begun to run
	for _, other := range e.running {
		if other.events > 0 {
			newest = other
		}
	}
	if newest != s || len(e.running) < engineSlots || s.events != engineFull || time.Since(e.preempted) < enginePause {
		return false
	}
	e.preempted = time.Now()
	return true
}

// generate answers a request with a stream of events and reports whether it is whole.
func (p *replica) generate(w http.ResponseWriter, r *http.Request) bool {
	attempt := r.Header.Get("Attempt-Id")
	last := 0
	if value := r.Header.Get("Last-Event-Id"); value != "" {
		if _, err := fmt.Sscan(value, &last); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return true
		}
	}
	s, found := p.engine.begin()
	if !found {
		log.add("replica %s is full and rejects %s", p.id, attempt)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	defer p.engine.end(s)
	w.Header().Set("Content-Type", "text/event-stream")
	wait := func(d time.Duration) bool {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	if !wait(readTime(enginePrompt + last*engineChunk)) {
		return false
	}
	for id := last + 1; id <= engineEvents; id++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", id, id, attempt); err != nil {
			return false
		}
		if http.NewResponseController(w).Flush() != nil {
			return false
		}
		gap := engineGap
		if p.engine.grow(s) {
			log.add("replica %s preempts %s after event %d", p.id, attempt, id)
			gap = engineRoom + readTime(enginePrompt+id*engineChunk)
		}
		if !wait(gap) {
			return false
		}
	}
	return true
}
