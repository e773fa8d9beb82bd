package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	drainBound  = 2000 * time.Millisecond
	stability   = 3 * time.Second
	serviceName = "desk"
	submitPath  = "/submit/"
)

// configuration has one route, of requests that may not be repeated.
func configuration(version int64) []byte {
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-submit", "host": host, "pathPrefix": submitPath, "kind": "non_idempotent", "timeoutMs": 2000,
			"targetLatencyMs": 300, "priority": 2, "service": serviceName, "maxAttempts": 1, "allowAnonymous": false,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "healthPath": "/health", "maxConnections": 200, "protocol": "h1", "tls": false,
			"coldStartS": 0, "coldPerS": 0,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": []string{key}}},
	})
	return data
}

const (
	drainRounds   = 7
	drainRound    = 10 * time.Second
	drainCut      = 2 * time.Second
	drainAfterCut = 400 * time.Millisecond // until replicas leave
	drainServeOn  = drainBound + 800*time.Millisecond
	drainReplicas = 12
	drainLeaving  = 2 // in each round
)

// drainCase: in each round one machine of a zone is cut off from the store for 2 s. Shortly
// after it is back, two of the replicas leave and others take their place. The other machine
// of the zone is in touch all the time, the first one again 3 s after the cut.
func drainCase(r *run) (int, error) {
	r.store.put("keyed.op", "config", configuration(1))
	var replicas []*replica
	started := 0
	start := func() error {
		started++
		replica, err := newReplica(r.record, r.store, fmt.Sprintf("i-%08x", 0x1000+started), serviceName, "z1", 12, 60*time.Millisecond)
		replicas = append(replicas, replica)
		return err
	}
	for range drainReplicas {
		if err := start(); err != nil {
			return notRun, err
		}
	}
	first, err := r.addMachine("front-z1-1", "z1")
	if err != nil {
		return notRun, err
	}
	second, err := r.addMachine("front-z1-2", "z1")
	if err != nil {
		return notRun, err
	}
	if !first.ready(10*time.Second) || !second.ready(10*time.Second) {
		return notRun, errors.New("a machine is not ready")
	}
	time.Sleep(stability)
	clients := newCallers(r.record)
	var sending sync.WaitGroup
	for _, m := range r.machines {
		sending.Go(func() { clients.send(m, submitPath+"a", 60, 4*time.Second, drainRounds*drainRound) })
	}
	var cuts []span // times in which the first machine is not in touch
	for range drainRounds {
		time.Sleep(time.Second)
		cut := time.Now()
		if r.trouble {
			r.record.add("cut from the store:", first.name)
			first.store.setCut(true)
		}
		time.Sleep(drainCut)
		first.store.setCut(false)
		r.record.add("back at the store:", first.name)
		cuts = append(cuts, span{cut, time.Now().Add(stability)})
		time.Sleep(drainAfterCut)
		for range drainLeaving {
			if err := start(); err != nil {
				return notRun, err
			}
			replicas[0].leave(drainServeOn)
			replicas = replicas[1:]
		}
		time.Sleep(drainRound - time.Second - drainCut - drainAfterCut)
	}
	sending.Wait()
	clients.open.Wait()
	return r.checkDrain(clients, first.name, cuts)
}

type span struct{ from, to time.Time }

func (s span) holds(at time.Time) bool { return !at.Before(s.from) && at.Before(s.to) }

// checkDrain counts the requests that reached a replica later than the bound after the store
// had acknowledged its leaving, sent to a machine that was in touch.
func (r *run) checkDrain(clients *callers, cutOff string, cuts []span) (int, error) {
	answered := make(map[string]answer)
	failed := 0
	for _, a := range clients.answers {
		answered[a.id] = a
		if a.status != 200 {
			failed++
		}
	}
	late, lost := make(map[string]int), 0
	longest := time.Duration(0)
	for _, a := range r.record.arrivals {
		from := answered[a.id]
		if a.sinceLeft <= drainBound || from.machine == cutOff && slices.ContainsFunc(cuts, func(s span) bool { return s.holds(from.sent) }) {
			continue
		}
		late[from.machine]++
		longest = max(longest, a.sinceLeft)
		if from.status != 200 {
			lost++
		}
		r.record.add("too late:", a.id, "by", from.machine, "at", a.replica, a.sinceLeft, "after its leaving, status", from.status)
	}
	summary := fmt.Sprintf("%d requests, %d without success; sent by machines in touch to replicas whose leaving was acknowledged over %v before: %v (latest %v after), %d of them lost",
		len(clients.answers), failed, drainBound, late, longest.Round(time.Millisecond), lost)
	r.record.add(summary)
	fmt.Println(summary)
	if len(late) > 0 {
		return broken, nil
	}
	return held, nil
}
