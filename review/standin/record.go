package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and writes it to record.txt.
type record struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	out     *bufio.Writer

	arrivals []arrival
	crashes  []time.Time
}

// arrival is a request that reached a replica.
type arrival struct {
	id, replica string
	sinceLeft   time.Duration // since the store accepted that the replica leaves; negative: it does not
	ran         bool
	at          time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *record) add(what string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(what, args...)
}

func (r *record) line(what string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f  %s", time.Since(r.started).Seconds(), what)
	for _, arg := range args {
		fmt.Fprintf(r.out, " %v", arg)
	}
	fmt.Fprintln(r.out)
}

func (r *record) arrived(id, replica string, sinceLeft time.Duration, ran bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{id, replica, sinceLeft, ran, time.Now()})
	if sinceLeft >= 0 {
		r.line("arrives at", replica, "request", id, "ms after its leaving:", sinceLeft.Milliseconds())
		return
	}
	r.line("arrives at", replica, "request", id)
}

func (r *record) crash(replica, by string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, time.Now())
	r.line("crashes:", replica, "by request", by)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
