package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Settings of the case "cold": those of the sheet of mffa-entries-grown, for a plain
// service.
const (
	coldGateways = 34
	coldReplicas = 4
	coldPerS     = 14.0
	coldOver     = 1.5
	coldSlack    = 5.0
	coldBound    = int(coldPerS*coldOver + coldSlack) // requests in a second, of all gateways
	coldStart    = 3 * time.Second
	coldDowntime = 2 * time.Second // of a replica that has crashed
	coldWork     = 30 * time.Millisecond
	coldRate     = 3 // requests a second at each gateway
	coldDeadline = 1500 * time.Millisecond
	coldCrashAt  = 3 * time.Second
	coldEnd      = 20 * time.Second
)

// crashing is a replica that starts again after a crash, cold, and that crashes while it is
// cold if it gets more than the bound in a second.
type crashing struct {
	s     *system
	id    string
	ip    string
	mu    sync.Mutex
	run   *replica
	since time.Time // start of the run
	cold  bool
	ended context.CancelFunc
	runs  []coldRun
}

// coldRun is one run of a replica that started cold.
type coldRun struct {
	replica    *replica
	since      time.Time
	crashed    time.Time
	overloaded bool
}

// start starts the replica at its address.
func (c *crashing) start(ctx context.Context, address string, cold bool) error {
	r, err := newReplicaAt(address, c.id, coldWork)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	beats, end := context.WithCancel(ctx)
	c.run, c.since, c.cold, c.ended = r, time.Now(), cold, end
	if cold {
		c.runs = append(c.runs, coldRun{replica: r, since: c.since})
		r.onArrival = func() { c.check(ctx) }
	}
	c.s.registerCold(beats, r, "desk", "mu-north-a", 1200*time.Millisecond, cold, coldStart)
	return nil
}

// check crashes a cold replica that has got more than the bound in the last second.
func (c *crashing) check(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.cold || now.Sub(c.since) > coldStart {
		return
	}
	count := 0
	for _, run := range c.run.all() {
		if now.Sub(run.at) < time.Second {
			count++
		}
	}
	if count > coldBound {
		c.cold = false
		c.s.note("%s is cold, gets %d requests in a second and crashes", c.id, count)
		c.runs[len(c.runs)-1].overloaded = true
		go c.crash(ctx)
	}
}

// crash ends the replica and starts it again, cold, after its downtime.
func (c *crashing) crash(ctx context.Context) {
	c.mu.Lock()
	r, end := c.run, c.ended
	if n := len(c.runs); n > 0 {
		c.runs[n-1].crashed = time.Now()
	}
	c.mu.Unlock()
	end()
	r.end()
	c.s.note("%s has crashed", c.id)
	time.Sleep(coldDowntime)
	if ctx.Err() != nil {
		return
	}
	if err := c.start(ctx, r.address, true); err != nil {
		c.s.note("%s does not start: %v", c.id, err)
		return
	}
	c.s.note("%s has started again and is cold", c.id)
}

// playCold lets one replica crash and come back, cold.
func playCold(s *system, trouble bool) (bool, error) {
	s.store.putJSON("keyed.op", "config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-submit", "host": "app.example", "pathPrefix": "/submit/", "kind": "non_idempotent",
			"timeoutMs": 1500, "targetLatencyMs": 200, "priority": 1, "service": "desk", "maxAttempts": 1,
		}},
		"services": []any{map[string]any{
			"name": "desk", "healthPath": "/health", "maxConnections": 460, "protocol": "h1",
			"coldStartS": coldStart.Seconds(), "coldPerS": coldPerS,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hall", "apiKeys": []string{"key-1"}}},
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ip := s.host()
	first := &crashing{s: s, id: "i-0001", ip: ip}
	if err := first.start(ctx, ip+":0", false); err != nil {
		return false, err
	}
	for i := 1; i < coldReplicas; i++ {
		r, err := newReplica(s.host(), fmt.Sprintf("i-%04d", i+1), coldWork)
		if err != nil {
			return false, err
		}
		s.register(ctx, r, "desk", "mu-north-a", 1200*time.Millisecond)
	}
	for i := range coldGateways {
		zone := fmt.Sprintf("mu-north-%c", 'a'+i%3)
		if _, err := s.addGateway(fmt.Sprintf("front-%s-%d", zone, i/3+1), zone); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(15 * time.Second) // the gateways find each other: they read the list of nodes every 12 s

	var clients sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	load, endLoad := context.WithCancel(ctx)
	for i, g := range s.gateways {
		clients.Go(func() {
			time.Sleep(time.Second / coldRate * time.Duration(i) / coldGateways)
			tick := time.NewTicker(time.Second / coldRate)
			defer tick.Stop()
			for {
				select {
				case <-tick.C:
					clients.Go(func() {
						got := send(g, http.MethodPost, "/submit/entry", "key-1", coldDeadline)
						mu.Lock()
						answers = append(answers, got)
						mu.Unlock()
					})
				case <-load.Done():
					return
				}
			}
		})
	}
	time.Sleep(coldCrashAt)
	if trouble {
		go first.crash(ctx)
	}
	time.Sleep(coldEnd - coldCrashAt)
	endLoad()
	clients.Wait()
	return s.judgeCold(answers, first), nil
}

// judgeCold counts what the replica got in any second while it was cold. Only requests
// that were sent and arrived in that second count.
func (s *system) judgeCold(answers []answer, first *crashing) bool {
	sent := make(map[string]answer)
	served := 0
	for _, a := range answers {
		sent[a.id] = a
		if a.err == nil && a.status == http.StatusOK {
			served++
		}
		s.noteAt(a.sent, "request %s to %s: %d after %d ms, %v", a.id, a.gateway.name, a.status, a.took.Milliseconds(), a.err)
	}
	first.mu.Lock()
	defer first.mu.Unlock()
	broken, lost := 0, 0
	for n, run := range first.runs {
		arrivals := run.replica.all()
		sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].at.Before(arrivals[j].at) })
		most := 0
		for i, a := range arrivals {
			if a.at.Sub(run.since) > coldStart {
				break
			}
			s.noteAt(a.at, "request %s reaches cold replica %s and runs; complete: %v", a.id, first.id, !a.ended.IsZero())
			if run.overloaded && a.ended.IsZero() {
				lost++
				s.noteAt(a.at, "request %s is lost in the crash: its client gets %d, %v", a.id, sent[a.id].status, sent[a.id].err)
			}
			count := 0
			for _, b := range arrivals[:i+1] {
				if a.at.Sub(b.at) < time.Second && a.at.Sub(sent[b.id].sent) < time.Second {
					count++
				}
			}
			most = max(most, count)
		}
		s.note("cold run %d of %s got at most %d requests in a second; allowed %d", n+1, first.id, most, coldBound)
		if most > coldBound {
			broken++
		}
	}
	summary := fmt.Sprintf("%d requests, %d served; FAILBACK broken in %d of %d cold runs; %d requests that ran were lost in crashes by overload",
		len(answers), served, broken, len(first.runs), lost)
	s.note("%s", summary)
	fmt.Println(summary)
	return broken == 0
}
