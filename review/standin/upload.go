package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Settings of the case "upload": those of the sheet of mffa-entries for its zone with one
// front machine.
const (
	uploadMemoryMB = 284         // memoryMb
	uploadLink     = 125_000_000 // linkMbps, in bytes a second
	uploadMaxBody  = 4 << 20     // maxBodyBytes
	uploadBody     = 3 << 20     // bytes of each body
	uploadSlots    = 6
	uploadClients  = 33              // clients of the zone
	uploadBurst    = 17              // x of a burst, in tenths
	uploadBurstFor = 3 * time.Second // for_s of a burst
	uploadWork     = 200 * time.Millisecond
	uploadDeadline = 8 * time.Second
	uploadBefore   = 6 * time.Second // before the burst, and after it
	uploadLost     = 3               // requests that may be lost
	uploadChunk    = 64 << 10
)

// memory returns a figure of a process, in MB.
func memory(pid int, name string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, name+":"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// uploader is a client that keeps its connection.
type uploader struct {
	s    *system
	g    *gateway
	body []byte
	rate *atomic.Int64 // bytes a second of each client
	conn net.Conn
	in   *bufio.Reader
}

// upload sends one request on the kept connection, at the client's share of the link.
func (u *uploader) upload() answer {
	got := answer{id: fmt.Sprintf("%x-%d", os.Getpid(), requestNumber.Add(1)), gateway: u.g, sent: time.Now()}
	defer func() { got.took = time.Since(got.sent) }()
	fail := func(err error) answer {
		got.err = err
		if u.conn != nil {
			u.conn.Close()
			u.conn = nil
		}
		return got
	}
	if u.conn == nil {
		conn, err := net.DialTimeout("tcp", u.g.front(), time.Second)
		if err != nil {
			return fail(err)
		}
		u.conn, u.in = conn, bufio.NewReader(conn)
	}
	u.conn.SetDeadline(time.Now().Add(uploadDeadline))
	head := fmt.Sprintf("POST /submit/entry HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: %s\r\nCredential: key-1\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		got.id, uploadDeadline.Milliseconds(), len(u.body))
	if _, err := io.WriteString(u.conn, head); err != nil {
		return fail(err)
	}
	for rest := u.body; len(rest) > 0; {
		n := min(len(rest), uploadChunk)
		begun := time.Now()
		if _, err := u.conn.Write(rest[:n]); err != nil {
			return fail(err)
		}
		rest = rest[n:]
		time.Sleep(time.Duration(float64(n)/float64(u.rate.Load())*float64(time.Second)) - time.Since(begun))
	}
	response, err := http.ReadResponse(u.in, nil)
	if err != nil {
		return fail(err)
	}
	data, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil {
		return fail(err)
	}
	got.status, got.body = response.StatusCode, string(data)
	if response.Close {
		u.conn.Close()
		u.conn = nil
	}
	return got
}

// playUpload lets users send bodies that the limits allow, and then 1.7 times as many.
func playUpload(s *system, trouble bool) (bool, error) {
	s.store.putJSON("keyed.op", "config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-submit", "host": "app.example", "pathPrefix": "/submit/", "kind": "non_idempotent",
			"timeoutMs": 8000, "targetLatencyMs": 3000, "priority": 1, "service": "desk", "maxAttempts": 1,
		}},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConnections": 96, "protocol": "h1"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": uploadMaxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hall", "apiKeys": []string{"key-1"}}},
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var replicas []*replica
	for i := range 3 {
		r, err := newReplica(s.host(), fmt.Sprintf("i-%04d", i+1), uploadWork)
		if err != nil {
			return false, err
		}
		s.register(ctx, r, "desk", "mu-north-c", 1200*time.Millisecond)
		r.slots = make(chan struct{}, uploadSlots)
		replicas = append(replicas, r)
	}
	g, err := s.addGateway("front-mu-north-c-1", "mu-north-c")
	if err != nil {
		return false, err
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	// The platform ends a process that exceeds memoryMb.
	peak, ended := 0, time.Time{}
	var watch sync.WaitGroup
	watch.Go(func() {
		for ctx.Err() == nil {
			now := memory(g.command.Process.Pid, "VmRSS")
			peak = max(peak, now)
			if now > uploadMemoryMB {
				ended = time.Now()
				g.command.Process.Signal(syscall.SIGKILL)
				s.note("%s uses %d MB, over memoryMb = %d: the platform ends it", g.name, now, uploadMemoryMB)
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	})

	body := bytes.Repeat([]byte("entry "), uploadBody/6)
	var rate atomic.Int64
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	run := func(count int, until time.Time, spread time.Duration) {
		for range count {
			clients.Go(func() {
				time.Sleep(time.Duration(rand.Int64N(int64(spread) + 1)))
				u := &uploader{s: s, g: g, body: body, rate: &rate}
				for time.Now().Before(until) {
					got := u.upload()
					mu.Lock()
					answers = append(answers, got)
					mu.Unlock()
					if got.err != nil {
						return
					}
				}
			})
		}
	}
	rate.Store(uploadLink / uploadClients)
	begin := time.Now()
	until := begin.Add(2*uploadBefore + uploadBurstFor)
	run(uploadClients, until, time.Second)
	time.Sleep(uploadBefore)
	s.note("so far the process has used at most %d MB", peak)
	if trouble {
		more := uploadClients*uploadBurst/10 - uploadClients
		s.note("burst: %d more users come at once", more)
		rate.Store(int64(uploadLink / (uploadClients + more)))
		run(more, time.Now().Add(uploadBurstFor), 0)
	}
	clients.Wait()
	stop()
	watch.Wait()
	return s.judgeUpload(answers, replicas, peak, ended), nil
}

// judgeUpload counts the requests that were passed on and whose kept connection was closed
// without an answer.
func (s *system) judgeUpload(answers []answer, replicas []*replica, peak int, ended time.Time) bool {
	ran := make(map[string]arrival)
	for _, r := range replicas {
		for _, run := range r.all() {
			ran[run.id] = run
			s.noteAt(run.at, "request %s reaches %s and runs", run.id, r.id)
		}
	}
	served, cut, passed := 0, 0, 0
	for _, a := range answers {
		_, reached := ran[a.id]
		switch {
		case a.err == nil && a.status == http.StatusOK:
			served++
		case a.err != nil:
			cut++
			if reached {
				passed++
			}
		}
		s.noteAt(a.sent, "request %s: %d after %d ms, %v; reached a replica: %v", a.id, a.status, a.took.Milliseconds(), a.err, reached)
	}
	summary := fmt.Sprintf("%d requests, %d served; memory at most %d MB, ended: %v; %d ended without an answer, %d of them had been passed on to a replica",
		len(answers), served, peak, !ended.IsZero(), cut, passed)
	s.note("%s", summary)
	fmt.Println(summary)
	return passed <= uploadLost
}
