package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica stands in for a replica of a plain service. It runs each request for the time
// work, and is gone once end was called: its connections end and new ones are refused.
type replica struct {
	id, address string
	work        time.Duration
	slowUntil   time.Time // until then a request takes slowWork
	slowWork    time.Duration
	server      *http.Server
	stop        chan struct{}
	onArrival   func()        // called with each request that runs; may be nil
	slots       chan struct{} // requests that run at once; nil: any number

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that has reached a replica and was not for another one.
type arrival struct {
	id, method, path, tenant string
	at                       time.Time
	ended                    time.Time // zero: cut off
}

func newReplica(ip, id string, work time.Duration) (*replica, error) {
	return newReplicaAt(net.JoinHostPort(ip, "0"), id, work)
}

func newReplicaAt(address, id string, work time.Duration) (*replica, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, address: listener.Addr().String(), work: work, stop: make(chan struct{})}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(listener)
	return r, nil
}

func (r *replica) end() {
	close(r.stop)
	r.server.Close()
}

func (r *replica) all() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	at := time.Now()
	if _, err := io.ReadAll(request.Body); err != nil {
		return
	}
	h := w.Header()
	h.Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	h.Set("Instance-Id", r.id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	n := len(r.arrivals)
	r.arrivals = append(r.arrivals, arrival{
		id: request.Header.Get("Attempt-Id"), method: request.Method, path: request.RequestURI,
		tenant: request.Header.Get("Tenant"), at: at,
	})
	r.mu.Unlock()
	if r.onArrival != nil {
		r.onArrival()
	}
	if r.slots != nil {
		select {
		case r.slots <- struct{}{}:
			defer func() { <-r.slots }()
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	work := r.work
	if time.Now().Before(r.slowUntil) {
		work = r.slowWork
	}
	select {
	case <-time.After(work):
	case <-r.stop:
		panic(http.ErrAbortHandler)
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	r.arrivals[n].ended = time.Now()
	r.mu.Unlock()
	h.Set("Server-Stamp", "stamp."+r.id)
	fmt.Fprintf(w, "answer of %s to %s\n", r.id, request.Header.Get("Attempt-Id"))
}
