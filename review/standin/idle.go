package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	idleRate   = 85 // new connections a second before all machines together, as the sheet's requests
	idleLosses = 3  // of four machines
	idleFor    = 80 * time.Second
	manyTry    = 7
)

// try is what a client saw of one request on a new connection.
type try struct {
	machine string
	at      time.Time
	served  bool
}

// idleCase: each client opens a connection, sends one request and keeps the connection open, as
// browsers do. Three of the four machines are lost for good, so that all clients come to the
// one that is left.
func idleCase(r *run) (int, error) {
	r.store.put("keyed.op", "config", configuration(1))
	for i := range 6 {
		if _, err := newReplica(r.record, r.store, fmt.Sprintf("i-%08x", 0x5000+i), serviceName, "z1", 12, 30*time.Millisecond); err != nil {
			return notRun, err
		}
	}
	r.descriptors = 4100
	for i := range idleLosses + 1 {
		if _, err := r.addMachine(fmt.Sprintf("front-z1-%d", i+1), "z1"); err != nil {
			return notRun, err
		}
	}
	for _, m := range r.machines {
		if !m.ready(10 * time.Second) {
			return notRun, errors.New("a machine is not ready")
		}
	}
	time.Sleep(stability)
	var (
		mu      sync.Mutex
		tries   []try
		healthy []time.Time // when the machine that is left said that it is ready
		open    []net.Conn
		sending sync.WaitGroup
	)
	left := r.machines[len(r.machines)-1]
	alive := r.machines
	done := make(chan struct{})
	go func() {
		check := newHealthCheck(left)
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
			if check.ready() {
				mu.Lock()
				healthy = append(healthy, time.Now())
				mu.Unlock()
				r.record.add("ready:", left.name)
			} else {
				r.record.add("not ready:", left.name)
			}
		}
	}()
	started := time.Now()
	ticker := time.NewTicker(time.Second / idleRate)
	defer ticker.Stop()
	lost := false
	for number := 0; time.Since(started) < idleFor; number++ {
		if !lost && r.trouble && time.Since(started) > 5*time.Second {
			lost = true
			for _, m := range r.machines[:idleLosses] {
				r.record.add("lost for good:", m.name)
				_ = m.command.Process.Kill()
			}
			alive = r.machines[idleLosses:]
		}
		m := alive[number%len(alive)]
		sending.Go(func() {
			at := time.Now()
			conn, served := r.once(m, number)
			mu.Lock()
			defer mu.Unlock()
			tries = append(tries, try{m.name, at, served})
			if conn != nil {
				open = append(open, conn)
			}
		})
		<-ticker.C
	}
	sending.Wait()
	close(done)
	mu.Lock()
	defer mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
	return r.checkTaken(left.name, tries, healthy)
}

// once sends one request on a new connection. It returns the connection if it was answered.
func (r *run) once(m *machine, number int) (net.Conn, bool) {
	id := fmt.Sprintf("%016x", 0xb000+number)
	r.record.add("sent to", m.name, "request", id)
	conn, err := net.DialTimeout("tcp", m.front(), time.Second)
	status := 0
	if err == nil {
		_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
		_, err = fmt.Fprintf(conn, "POST %sa HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nCredential: %s\r\nDeadline-Ms: 4000\r\nContent-Length: 2\r\n\r\nok", submitPath, host, id, key)
	}
	if err == nil {
		var response *http.Response
		if response, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			status = response.StatusCode
		}
	}
	r.record.add("answered by", m.name, "request", id, "status", status)
	if status == 0 && conn != nil {
		_ = conn.Close()
		return nil, false
	}
	return conn, status != 0
}

// healthCheck asks a machine whether it is ready, on a connection that it keeps.
type healthCheck struct {
	client *http.Client
	url    string
}

func newHealthCheck(m *machine) *healthCheck {
	return &healthCheck{&http.Client{Timeout: time.Second}, fmt.Sprintf("http://%s:%d/v1/readiness", m.ip, m.ports.ready)}
}

func (h *healthCheck) ready() bool {
	response, err := h.client.Get(h.url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// checkTaken looks for the longest time in which a machine said that it is ready, many clients
// tried, and none of them was answered.
func (r *run) checkTaken(machine string, tries []try, healthy []time.Time) (int, error) {
	slices.SortFunc(tries, func(a, b try) int { return a.at.Compare(b.at) })
	var begun time.Time
	longest, clients, most, unanswered := time.Duration(0), 0, 0, 0
	for _, t := range tries {
		if !t.served {
			unanswered++
		}
		if t.machine != machine {
			continue
		}
		if t.served {
			begun, clients = time.Time{}, 0
			continue
		}
		if begun.IsZero() {
			begun = t.at
		}
		clients++
		if span := t.at.Sub(begun); span > longest && wasReady(healthy, begun, t.at) {
			longest, most = span, clients
		}
	}
	summary := fmt.Sprintf("%d requests on new connections, %d not answered; longest time in which %s said that it is ready and took none: %v, %d clients tried",
		len(tries), unanswered, machine, longest.Round(time.Millisecond), most)
	r.record.add(summary)
	fmt.Println(summary)
	if longest >= stability && most >= manyTry {
		return broken, nil
	}
	return held, nil
}

// wasReady reports whether the machine said that it is ready at least every 2 s.
func wasReady(healthy []time.Time, from, to time.Time) bool {
	last := from.Add(-time.Second)
	for _, at := range healthy {
		if at.Before(from) || at.After(to) {
			continue
		}
		if at.Sub(last) > 2*time.Second+500*time.Millisecond {
			return false
		}
		last = at
	}
	return to.Sub(last) <= 2*time.Second+500*time.Millisecond
}
