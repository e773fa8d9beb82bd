package service

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/app/standin/serve"
	"quetzalbend/internal/pause"
)

// KeyHeader carries the idempotency key under which a call is counted.
const KeyHeader = "X-Idempotency-Key-Echo"

const maxBodyBytes = 8 << 20

// Config is the start-up configuration.
type Config struct {
	Listen string `json:"listen"` // IP address and port
}

// Faults are the faults that a request to /standin/fault sets.
type Faults struct {
	DelayMS     int  `json:"delay_ms"`      // of each answer
	DieAfterRun bool `json:"die_after_run"` // breaks the connection after the next call with a key has run
	Status      int  `json:"status"`        // of each answer; 0: 200
}

// Truth is what really happened so far.
type Truth struct {
	Runs              map[string]int `json:"runs"`             // by key
	IdempotentCalls   int            `json:"idempotent_calls"` // calls without a key
	LastRequestUnixMS int64          `json:"last_request_unix_ms"`
}

// Answer is the service's answer to a call.
type Answer struct {
	Key    string `json:"key,omitempty"`
	Run    int    `json:"run"`    // runs of the key so far
	Serial int    `json:"serial"` // calls of the service so far
	Path   string `json:"path"`
}

// Service is a stand-in service.
type Service struct {
	mux *http.ServeMux

	lock   sync.Mutex
	truth  Truth
	faults Faults
	serial int
}

// New returns a service, which is an HTTP handler.
func New() *Service {
	s := &Service{mux: http.NewServeMux(), truth: Truth{Runs: make(map[string]int)}}
	s.mux.HandleFunc("/", s.call)
	s.mux.HandleFunc("GET /standin/truth", func(w http.ResponseWriter, _ *http.Request) { serve.JSON(w, s.Truth()) })
	s.mux.HandleFunc("POST /standin/fault", s.fault)
	return s
}

// ServeHTTP serves the service's calls.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Truth returns what really happened so far.
func (s *Service) Truth() Truth {
	s.lock.Lock()
	defer s.lock.Unlock()
	truth := s.truth
	truth.Runs = maps.Clone(s.truth.Runs)
	return truth
}

// Run serves a service on config.Listen until ctx ends.
func Run(ctx context.Context, config Config) error {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", config.Listen)
	}
	return serve.HTTP(ctx, listener, New())
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
		return
	}
	answer, faults := s.record(r)
	if faults.DieAfterRun {
		panic(http.ErrAbortHandler)
	}
	if !pause.For(r.Context(), time.Duration(faults.DelayMS)*time.Millisecond) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if faults.Status != 0 {
		w.WriteHeader(faults.Status)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// record counts a call and returns the answer to it and the faults to inject. The
// call has run by then, whatever the faults do to its answer.
func (s *Service) record(r *http.Request) (Answer, Faults) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.serial++
	s.truth.LastRequestUnixMS = time.Now().UnixMilli()
	answer := Answer{Key: r.Header.Get(KeyHeader), Serial: s.serial, Path: r.URL.Path}
	faults := s.faults
	if answer.Key == "" {
		s.truth.IdempotentCalls++
		faults.DieAfterRun = false
		return answer, faults
	}
	s.truth.Runs[answer.Key]++
	answer.Run = s.truth.Runs[answer.Key]
	s.faults.DieAfterRun = false
	return answer, faults
}

func (s *Service) fault(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := json.NewDecoder(r.Body).Decode(&s.faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
