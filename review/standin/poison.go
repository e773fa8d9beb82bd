package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	modelName  = "model"
	draftPath  = "/draft/"
	chatPath   = "/chat/"
	backAfter  = 3 * time.Second
	maxRetries = 3
	crashesFor = 45 * time.Second
	crashAfter = 4 // events of the request
	streamGap  = 2 * time.Second
)

// streamConfiguration has a route of streams that may be resumed, and one of streams that may
// not.
func streamConfiguration() []byte {
	route := func(name, path string, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": path, "kind": "streaming", "timeoutMs": 8000,
			"targetLatencyMs": 400, "priority": 1, "service": modelName, "maxAttempts": 2, "allowAnonymous": false,
			"sessionAffinity": true, "streamResume": resume, "gapAimMs": 120,
		}
	}
	data, _ := json.Marshal(map[string]any{
		"version": 1,
		"routes":  []any{route("r-draft", draftPath, true), route("r-chat", chatPath, false)},
		"services": []any{map[string]any{
			"name": modelName, "healthPath": "/health", "maxConnections": 328, "protocol": "h1", "tls": false,
			"coldStartS": 0, "coldPerS": 0,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": []string{key}}},
	})
	return data
}

// poisonCase: one request crashes each replica that runs it, after it has sent some events. It
// comes again every second, at one machine or another.
func poisonCase(r *run) (int, error) { return r.poisoned(crashAfter, false) }

// darkCase: the same, but the replicas go dark before they have sent an event, and the client
// gives the stream up after two seconds.
func darkCase(r *run) (int, error) { return r.poisoned(0, true) }

func (r *run) poisoned(crashAfter int, dark bool) (int, error) {
	r.store.put("keyed.op", "config", streamConfiguration())
	var mu sync.Mutex
	started := 0
	var start func() error
	start = func() error {
		mu.Lock()
		started++
		id := fmt.Sprintf("i-%08x", 0x2000+started)
		mu.Unlock()
		_, err := newStreamer(r.record, r.store, id, modelName, "z1", crashAfter, dark, func(*streamer) {
			time.AfterFunc(backAfter, func() { _ = start() })
		})
		return err
	}
	for range 16 {
		if err := start(); err != nil {
			return notRun, err
		}
	}
	for i := range 3 {
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
	others, suspects := newCallers(r.record), newCallers(r.record)
	suspects.body = "harmless text"
	if r.trouble {
		suspects.body = poison + " text"
	}
	suspects.number.Store(0x10000)
	if dark {
		suspects.client.Timeout = streamGap
	}
	var sending sync.WaitGroup
	for _, m := range r.machines {
		sending.Go(func() { others.send(m, chatPath+"a", 8, 8*time.Second, crashesFor) })
	}
	for i, end := 0, time.Now().Add(crashesFor); time.Now().Before(end); i++ {
		m := r.machines[i%len(r.machines)]
		sending.Go(func() { suspects.call(m, draftPath+"b", 8*time.Second) })
		time.Sleep(time.Second)
	}
	sending.Wait()
	others.open.Wait()
	return r.checkPoison(others)
}

// checkPoison counts the times that the request reached a replica later than the stability
// window after it had crashed the third.
func (r *run) checkPoison(others *callers) (int, error) {
	lost := 0
	for _, a := range others.answers {
		if a.status != 200 {
			lost++
		}
	}
	r.record.mu.Lock()
	crashes := r.record.crashes
	r.record.mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, a := range r.record.arrivals {
			if a.at.After(crashes[2].Add(stability)) {
				late++
			}
		}
	}
	summary := fmt.Sprintf("the request crashed %d replicas and reached replicas %d times later than %v after the third crash; %d of %d streams of others not complete",
		len(crashes), late, stability, lost, len(others.answers))
	r.record.add(summary)
	fmt.Println(summary)
	if late > maxRetries {
		return broken, nil
	}
	return held, nil
}
