package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	key  = "k1e9a5b7c3d"
	host = "app.example"
)

// answer is what a client saw of one request.
type answer struct {
	id, machine string
	sent, ended time.Time
	status      int // 0: the connection ended without an answer
	stamp       string
}

// callers send requests to a machine at a rate.
type callers struct {
	record *record
	client *http.Client
	number atomic.Int64
	body   string // the same for all requests; empty: each has its own

	mu      sync.Mutex
	answers []answer
	open    sync.WaitGroup
}

func newCallers(record *record) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
	return &callers{record: record, client: &http.Client{Transport: transport, Timeout: 10 * time.Second}}
}

// send sends requests until the time has passed.
func (c *callers) send(m *machine, path string, perSecond int, deadline, during time.Duration) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(during); time.Now().Before(end); <-ticker.C {
		c.open.Go(func() { c.call(m, path, deadline) })
	}
}

func (c *callers) call(m *machine, path string, deadline time.Duration) answer {
	id := fmt.Sprintf("%016x", 0xa000+c.number.Add(1))
	body := c.body
	if body == "" {
		body = "order " + id
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+m.front()+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.GetBody = nil // a request is one attempt
	request.Host = host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Credential", key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	a := answer{id: id, machine: m.name, sent: time.Now()}
	c.record.add("sent to", m.name, "request", id)
	response, err := c.client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil {
			a.status, a.stamp = response.StatusCode, response.Header.Get("Server-Stamp")
		}
	}
	a.ended = time.Now()
	c.record.add("answered by", m.name, "request", id, "status", a.status, a.stamp)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}
