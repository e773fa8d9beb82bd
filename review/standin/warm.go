package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Settings of the case "warm": those of the sheet of mffa-entries for its plain service.
const (
	warmGateways = 3
	warmReplicas = 3
	warmSlots    = 6
	warmWork     = 30 * time.Millisecond
	warmTimeout  = 800 // timeoutMs
	warmDown     = 1600 * time.Millisecond
	warmSlow     = 500 * time.Millisecond // time that a request takes at a replica that has just started
	warmSlowFor  = 5 * time.Second        // how long a replica that has just started is slow
	warmRecovery = 12 * time.Second
	warmBefore   = 10 * time.Second
	warmAfter    = 30 * time.Second // that is judged
	warmClients  = 60
	warmPause    = time.Second // of a client between two requests
	warmLookups  = 8           // things that are looked up
	warmOrders   = 10          // one request in so many is no lookup
	warmDeadline = 1500 * time.Millisecond
)

// playWarm lets users look up a few things, until all machines lose power and come back.
func playWarm(s *system, trouble bool) (bool, error) {
	route := func(prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": "r-" + kind, "host": "app.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": warmTimeout,
			"targetLatencyMs": 150, "priority": 2, "service": "desk", "maxAttempts": attempts,
		}
	}
	s.store.putJSON("keyed.op", "config", map[string]any{
		"version":  3,
		"routes":   []any{route("/submit/", "non_idempotent", 1), route("/status/", "idempotent", 2)},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConnections": 96, "protocol": "h1"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hall", "apiKeys": []string{"key-1"}}},
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	type machine struct {
		replica *replica
		power   context.CancelFunc
	}
	machines := make([]machine, warmReplicas)
	start := func(i int, address string, slowUntil time.Time) error {
		r, err := newReplicaAt(address, fmt.Sprintf("i-%04d", i+1), warmWork)
		if err != nil {
			return err
		}
		r.slots, r.slowUntil, r.slowWork = make(chan struct{}, warmSlots), slowUntil, warmSlow
		on, off := context.WithCancel(ctx)
		machines[i] = machine{r, off}
		s.register(on, r, "desk", "mu-north-a", 1200*time.Millisecond)
		return nil
	}
	for i := range machines {
		if err := start(i, s.host()+":0", time.Time{}); err != nil {
			return false, err
		}
	}
	for i := range warmGateways {
		if _, err := s.addGateway(fmt.Sprintf("front-mu-north-a-%d", i+1), "mu-north-a"); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	var clients sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	load, endLoad := context.WithCancel(ctx)
	defer endLoad()
	for range warmClients {
		clients.Go(func() {
			time.Sleep(rand.N(warmPause))
			for load.Err() == nil {
				method, path := http.MethodGet, fmt.Sprintf("/status/%d", rand.IntN(warmLookups))
				if rand.IntN(warmOrders) == 0 {
					method, path = http.MethodPost, "/submit/entry"
				}
				for try := range 2 { // a client repeats a lookup that has failed, once, at another gateway
					got := send(s.gateways[rand.IntN(len(s.gateways))], method, path, "key-1", warmDeadline)
					mu.Lock()
					answers = append(answers, got)
					mu.Unlock()
					if got.err == nil && got.status == http.StatusOK || method == http.MethodPost || try > 0 {
						break
					}
				}
				time.Sleep(warmPause)
			}
		})
	}
	time.Sleep(warmBefore)
	fault := time.Now()
	if trouble {
		s.note("all machines lose power")
		for _, m := range machines {
			m.power()
			m.replica.end()
		}
		for _, g := range s.gateways {
			g.command.Process.Signal(syscall.SIGKILL)
			g.command.Wait()
		}
		time.Sleep(warmDown)
		for i, m := range machines {
			if err := start(i, m.replica.address, time.Now().Add(warmSlowFor)); err != nil {
				return false, err
			}
		}
		for _, g := range s.gateways {
			if err := s.start(g); err != nil {
				return false, err
			}
		}
		s.note("all machines are back")
	}
	back := time.Now()
	time.Sleep(warmRecovery + warmAfter)
	endLoad()
	clients.Wait()
	return s.judgeWarm(answers, fault, back), nil
}

// judgeWarm compares what was served before the final fault with what was served later than
// recoveryS after the machines were back.
func (s *system) judgeWarm(answers []answer, fault, back time.Time) bool {
	type count struct{ sent, served, lookups, lookupsServed, refused int }
	var before, after count
	for _, a := range answers {
		s.noteAt(a.sent, "request %s to %s for %s: %d after %d ms, %v %q", a.id, a.gateway.name, a.path, a.status, a.took.Milliseconds(), a.err, a.body)
		c := &before
		switch {
		case a.sent.After(back.Add(warmRecovery)):
			c = &after
		case a.sent.After(fault):
			continue
		}
		served := a.err == nil && a.status == http.StatusOK
		c.sent++
		if served {
			c.served++
		}
		if a.path != "/submit/entry" {
			c.lookups++
			if served {
				c.lookupsServed++
			}
		}
		if a.body == "kills_targets\n" {
			c.refused++
		}
	}
	summary := fmt.Sprintf("before: %d of %d served; from %v after the machines were back: %d of %d served, lookups %d of %d, refused as kills_targets %d",
		before.served, before.sent, warmRecovery, after.served, after.sent, after.lookupsServed, after.lookups, after.refused)
	s.note("%s", summary)
	fmt.Println(summary)
	return !(before.served*4 >= before.sent && after.served*4 < after.sent)
}
