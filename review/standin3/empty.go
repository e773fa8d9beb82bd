package main

import (
	"fmt"
	"syscall"
	"time"
)

// Case 15: the only replica leaves while the gateway that reads the store starts again.
const (
	emptyDown  = 200 * time.Millisecond // from the kill of the gateway to its start; the replica leaves in the middle
	emptyLater = 4 * time.Second        // until another replica comes, as with scale_in (spot)
	emptyServe = 8 * time.Second        // for which the replica that has left serves on after that
)

// emptyRegistry returns 1 if the rule DRAIN was broken.
func emptyRegistry(folder string, trouble bool) int {
	f := &beatFleet{store: newStore(), runs: &runs{}}
	address := f.store.listen("127.0.55.1:0")
	status := route("status", "/status/", "idempotent", "app", 800, 150)
	f.store.putJSON("keyed.op", "config", settings([]any{status}, []any{service("app")}))
	f.leaves = f.newReplica(1)
	f.gateways = newGateways(folder, address, []string{"z1"}, "127.0.56.1", "127.0.56.2")
	for _, g := range f.gateways {
		g.start()
		awaitReady(g)
	}
	reader, other := f.gateways[0], f.gateways[1]
	time.Sleep(4 * time.Second) // all machines are in touch
	end := f.ask(other)
	time.Sleep(2 * time.Second)
	if trouble {
		reader.signal(syscall.SIGKILL)
		<-reader.ended
	}
	time.Sleep(emptyDown / 2)
	gone := f.leave()
	time.Sleep(emptyDown / 2)
	if trouble {
		reader.start()
	}
	time.Sleep(emptyLater)
	later := f.newReplica(2)
	log.add("%s has started", later.id)
	time.Sleep(emptyServe)
	sent, served := end()
	for _, g := range f.gateways {
		if !g.running() {
			fail("%s has ended", g.name)
		}
	}
	return judgeBeat(f.leaves, f.runs, gone, sent, served)
}

// newReplica starts a replica of the fleet.
func (f *beatFleet) newReplica(number int) *replica {
	p := &replica{
		id: fmt.Sprintf("i-%d", number), service: "app", zone: "z1", store: f.store, runs: f.runs, first: 20 * time.Millisecond,
	}
	p.serve(fmt.Sprintf("127.0.57.%d", number))
	return p
}
