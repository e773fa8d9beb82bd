package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	outage       = 6 * time.Second
	restartAfter = 500 * time.Millisecond
	maxCut       = 3
)

// bothConfiguration has a route of streams that may be resumed and one of requests that may not
// be repeated.
func bothConfiguration() []byte {
	service := func(name string) map[string]any {
		return map[string]any{
			"name": name, "healthPath": "/health", "maxConnections": 328, "protocol": "h1", "tls": false,
			"coldStartS": 0, "coldPerS": 0,
		}
	}
	data, _ := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{
				"name": "r-draft", "host": host, "pathPrefix": draftPath, "kind": "streaming", "timeoutMs": 8000,
				"targetLatencyMs": 400, "priority": 1, "service": modelName, "maxAttempts": 2, "allowAnonymous": false,
				"sessionAffinity": true, "streamResume": true, "gapAimMs": 120,
			},
			map[string]any{
				"name": "r-submit", "host": host, "pathPrefix": submitPath, "kind": "non_idempotent", "timeoutMs": 2000,
				"targetLatencyMs": 300, "priority": 2, "service": serviceName, "maxAttempts": 1, "allowAnonymous": false,
			},
		},
		"services": []any{service(modelName), service(serviceName)},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "t1", "apiKeys": []string{key}}},
	})
	return data
}

// crashCase: the store is down for 6 s. Half a second into it, one machine's process is killed
// and starts again. As the store is back, a request that crashes replicas comes to that machine
// a few times.
func crashCase(r *run) (int, error) {
	r.store.put("keyed.op", "config", bothConfiguration())
	var mu sync.Mutex
	started := 0
	var start func() error
	start = func() error {
		mu.Lock()
		started++
		id := fmt.Sprintf("i-%08x", 0x3000+started)
		mu.Unlock()
		_, err := newStreamer(r.record, r.store, id, modelName, "z1", 0, false, func(*streamer) {
			time.AfterFunc(backAfter, func() { _ = start() })
		})
		return err
	}
	for i := range 16 {
		if err := start(); err != nil {
			return notRun, err
		}
		if i >= 6 {
			continue
		}
		if _, err := newReplica(r.record, r.store, fmt.Sprintf("i-%08x", 0x4000+i), serviceName, "z1", 12, 60*time.Millisecond); err != nil {
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
	time.Sleep(2 * stability)
	down := time.Now()
	last := r.machines[len(r.machines)-1]
	if r.trouble {
		r.record.add("store down")
		r.store.setDown(true)
		time.Sleep(500 * time.Millisecond)
		if err := r.restart(last); err != nil {
			return notRun, err
		}
	}
	back := down.Add(outage)
	time.Sleep(time.Until(back.Add(-time.Second))) // over 3 s since the start
	calls, streams, suspects := newCallers(r.record), newCallers(r.record), newCallers(r.record)
	suspects.body = "harmless text"
	if r.trouble {
		suspects.body = poison + " text"
	}
	streams.number.Store(0x10000)
	suspects.number.Store(0x20000)
	var sending sync.WaitGroup
	sending.Go(func() { calls.send(last, submitPath+"a", 120, 4*time.Second, 5*time.Second) })
	sending.Go(func() { streams.send(last, draftPath+"a", 10, 8*time.Second, 5*time.Second) })
	time.AfterFunc(time.Until(back), func() {
		r.store.setDown(false)
		r.record.add("store up")
	})
	for _, at := range []time.Duration{-300, 150, 450, 750, 1050} {
		time.Sleep(time.Until(back.Add(at * time.Millisecond)))
		sending.Go(func() { suspects.call(last, draftPath+"b", 8*time.Second) })
	}
	sending.Wait()
	calls.open.Wait()
	streams.open.Wait()
	return r.checkCut(last, calls)
}

// restart kills a machine's process. The platform starts it again after a short delay.
func (c *cluster) restart(m *machine) error {
	c.record.add("killed:", m.name)
	_ = m.command.Process.Kill()
	<-m.ended
	time.Sleep(restartAfter)
	if err := m.start(c.program, c.logPath(m)); err != nil {
		return err
	}
	c.record.add("started again:", m.name)
	if !m.ready(3 * time.Second) {
		return errors.New("the machine is not ready again")
	}
	return nil
}

func (c *cluster) logPath(m *machine) string { return filepath.Join(c.folder, m.name+".log") }

// checkCut counts the requests that were passed on to a replica and whose connection was
// closed without an answer.
func (r *run) checkCut(m *machine, calls *callers) (int, error) {
	passedOn := make(map[string]bool)
	for _, a := range r.record.arrivals {
		passedOn[a.id] = a.ran
	}
	cut := 0
	for _, a := range calls.answers {
		if a.status == 0 && passedOn[a.id] {
			cut++
			r.record.add("passed on and closed without an answer:", a.id)
		}
	}
	select {
	case err := <-m.ended:
		m.ended <- err
		r.record.add("the process of", m.name, "has ended by itself:", err)
		if log, err := os.ReadFile(r.logPath(m)); err == nil {
			if at := strings.Index(string(log), "panic:"); at >= 0 {
				r.record.add("its last output:", lastOutput(string(log[at:])))
			}
		}
	default:
	}
	summary := fmt.Sprintf("%d requests that may not be repeated, %d of them passed on to a sound replica and their connection closed without an answer", len(calls.answers), cut)
	r.record.add(summary)
	fmt.Println(summary)
	if cut > maxCut {
		return broken, nil
	}
	return held, nil
}

// lastOutput returns the first lines of what a process has written last, without its files.
func lastOutput(text string) string {
	var lines []string
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "/") && len(lines) < 5 {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, " | ")
}
