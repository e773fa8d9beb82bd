package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Case 12: a heartbeat that the store carries out late, after its replica has gone.
const (
	beatLate     = 6 * time.Second // as in the pages (platform_lost late: done 1 to 6 s later)
	beatDrain    = 2 * time.Second // drainMs
	beatInterval = 1200 * time.Millisecond
	beatExpiry   = 3 * beatInterval // of silence after which the store removes an entry
)

// asker sends idempotent requests to a gateway, one after the other, until stop.
func asker(g *gateway, number int, stop <-chan struct{}) (sent, served int) {
	client := http.Client{Timeout: 2 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return sent, served
		case <-time.After(20 * time.Millisecond):
		}
		id := fmt.Sprintf("%04x%04x%08x", number, 0xbea7, i)
		request, err := http.NewRequest(http.MethodGet, "http://"+g.front+"/status/7", nil)
		if err != nil {
			fail("%v", err)
		}
		request.Host = "app.example"
		request.Header.Set("Attempt-Id", id)
		request.Header.Set("Deadline-Ms", "1500")
		request.Header.Set("Credential", "key-1")
		sent++
		answer, err := client.Do(request)
		if err != nil {
			log.add("client of %s: no answer: %v", id, err)
			continue
		}
		body, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err == nil && answer.StatusCode == http.StatusOK && string(body) == "answer to "+id {
			served++
		} else {
			log.add("client of %s: status %d, error %v, %s", id, answer.StatusCode, err, strings.TrimSpace(string(body)))
		}
	}
}

// lateBeat returns 1 if the rule DRAIN was broken.
func lateBeat(folder string, trouble bool) int {
	s := newStore()
	address := s.listen("127.0.35.1:0")
	s.putJSON("keyed.op", "config", settings(1, []any{route("status", "/status/", "idempotent", "app", 800, 150, 2)}, []any{service("app")}))
	all := &runs{}
	var replicas []*replica
	for i := range 3 {
		p := &replica{id: fmt.Sprintf("i-%d", i+1), service: "app", zone: "z1", store: s, runs: all, first: 20 * time.Millisecond}
		p.serve(fmt.Sprintf("127.0.37.%d", i+1))
		replicas = append(replicas, p)
	}
	leaves := replicas[0]
	gateways := newGateways(folder, address, []string{"z1"}, "127.0.36.1", "127.0.36.2")
	reader, other := gateways[0], gateways[1]
	reader.start()
	awaitReady(reader)
	other.start()
	awaitReady(other)
	time.Sleep(4 * time.Second) // all machines are in touch

	stop := make(chan struct{})
	var group sync.WaitGroup
	var sent, served int
	group.Go(func() { sent, served = asker(other, 1, stop) })
	time.Sleep(2 * time.Second)

	if trouble {
		// The store gives no answer to this call, and carries it out late.
		leaves.mu.Lock()
		late, err := json.Marshal(leaves.record())
		leaves.mu.Unlock()
		if err != nil {
			fail("%v", err)
		}
		log.add("the store does not answer a heartbeat of %s: %s", leaves.id, late)
		time.AfterFunc(beatLate, func() {
			s.put("keyed.servers", leaves.id, late)
			log.add("the store carries out that heartbeat of %s", leaves.id)
			time.AfterFunc(beatExpiry, func() {
				s.put("keyed.servers", leaves.id, nil)
				log.add("the entry of %s expires", leaves.id)
			})
		})
	}
	time.Sleep(4 * time.Second) // the store is stable again after 3 s
	leaves.mu.Lock()
	leaves.gone = true
	s.put("keyed.servers", leaves.id, nil)
	gone := time.Now()
	leaves.mu.Unlock()
	log.add("%s leaves: its entry is removed, and it serves on", leaves.id)
	time.Sleep(800 * time.Millisecond)
	if trouble {
		reader.signal(syscall.SIGKILL)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	group.Wait()
	if !other.running() || !trouble && !reader.running() {
		fail("a gateway has ended")
	}
	return judgeBeat(leaves, all, gone, sent, served)
}

// judgeBeat counts the requests that have reached a replica later than drainMs after it had gone.
func judgeBeat(leaves *replica, all *runs, gone time.Time, sent, served int) int {
	all.mu.Lock()
	defer all.mu.Unlock()
	before, late := 0, 0
	var latest time.Duration
	for _, r := range all.all {
		switch after := r.began.Sub(gone); {
		case r.replica != leaves.id:
		case after <= beatDrain:
			before++
		default:
			late++
			latest = max(latest, after)
		}
	}
	log.add("%d requests sent, %d served", sent, served)
	log.add("%d requests reached %s until 2 s after it had gone, %d later than that, the last one after %.1f s; one breaks the rule",
		before, leaves.id, late, latest.Seconds())
	if before == 0 || served < sent*9/10 {
		fail("%d of %d requests served, %d at %s", served, sent, before, leaves.id)
	}
	if late > 0 {
		return 1
	}
	return 0
}
