package ranks

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/app/standin/engine"
	"quetzalbend/internal/app/standin/serve"
	"quetzalbend/internal/core/balance"
	"quetzalbend/internal/core/expertmap"
)

// Config is the start-up configuration.
type Config struct {
	Listen        string `json:"listen"` // IP address and port
	Ranks         int    `json:"ranks"`
	Experts       int    `json:"experts"` // of each layer
	Layers        int    `json:"layers"`
	Slots         int    `json:"slots"`       // of each layer, over all ranks
	StepUS        int    `json:"step_us"`     // time of a step in microseconds, default 1000
	ShiftSteps    int64  `json:"shift_steps"` // steps until the popularity of experts changes, default 5000
	Seed          uint64 `json:"seed"`        // of the experts' popularity
	ChecksFencing bool   `json:"checks_fencing"`
}

// Defaults of Config.
const (
	defaultStepUS     = 1000
	defaultShiftSteps = 5000
)

// Order is the body of an order to a rank.
type Order struct {
	Fencing  expertmap.Ballot    `json:"fencing"`
	Map      *expertmap.Map      `json:"map,omitempty"`
	Hold     *expertmap.Hold     `json:"hold,omitempty"`
	Decision *expertmap.Decision `json:"decision,omitempty"`
}

// Done is the answer to an order: whether the engine has carried it out.
type Done struct {
	Done bool `json:"done"`
}

// Faults are the faults to inject into a group. Fields that are left out change
// nothing.
type Faults struct {
	Stall       *int `json:"stall,omitempty"`         // rank that stops beginning steps
	Resume      *int `json:"resume,omitempty"`        // rank that begins steps again
	Replace     *int `json:"replace,omitempty"`       // rank whose engine is replaced by a new one
	LateRank    *int `json:"late_rank,omitempty"`     // rank whose orders arrive late
	LateOrderMS int  `json:"late_order_ms,omitempty"` // delay of these orders; 0 ends the fault
}

// Server serves a group over HTTP.
type Server struct {
	group   *Group
	initial expertmap.Map
	mux     *http.ServeMux

	lock        sync.Mutex
	orderDelays map[int]time.Duration // by rank
}

// InitialMap returns the map with which engines start. It is packed for equal loads.
func InitialMap(shape balance.Shape, layers int) (expertmap.Map, error) {
	loads := slices.Repeat([]float64{1}, shape.Experts)
	speeds := slices.Repeat([]float64{1}, shape.Ranks())
	payload, err := balance.EncodeLayers(slices.Repeat([]balance.Map{balance.Pack(shape, loads, speeds)}, layers))
	return expertmap.Map{Payload: payload}, err
}

// NewServer returns a server of a group. A replaced engine starts with the
// initial map.
func NewServer(group *Group, initial expertmap.Map) *Server {
	s := &Server{group: group, initial: initial, mux: http.NewServeMux(), orderDelays: map[int]time.Duration{}}
	s.mux.HandleFunc("GET /v1/ranks/{rank}/state", s.state)
	s.mux.HandleFunc("POST /v1/ranks/{rank}/orders", s.order)
	s.mux.HandleFunc("GET /v1/report", s.report)
	s.mux.HandleFunc("GET /v1/load", s.load)
	s.mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	s.mux.HandleFunc("GET /standin/truth", func(w http.ResponseWriter, _ *http.Request) { serve.JSON(w, group.Truth()) })
	s.mux.HandleFunc("POST /standin/fault", s.fault)
	return s
}

// ServeHTTP serves the group's protocol.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Run serves a group on config.Listen and runs its steps until ctx ends.
func Run(ctx context.Context, config Config) error {
	config = config.withDefaults()
	shape, err := balance.EvenShape(config.Ranks, config.Experts, config.Slots)
	if err != nil {
		return err
	}
	initial, err := InitialMap(shape, config.Layers)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", config.Listen)
	}
	group := NewGroup(config.Ranks, initial, config.ChecksFencing)
	group.SetLoad(newShiftingLoad(config, shape))
	go group.Drive(ctx, time.Duration(config.StepUS)*time.Microsecond)
	return serve.HTTP(ctx, listener, NewServer(group, initial))
}

func (c Config) withDefaults() Config {
	c.StepUS = cmp.Or(c.StepUS, defaultStepUS)
	c.ShiftSteps = cmp.Or(c.ShiftSteps, defaultShiftSteps)
	c.Layers = cmp.Or(c.Layers, 1)
	return c
}

// load answers with an empty load report, since the group serves no requests.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, engine.Load{Incarnation: "ranks"})
}

func (s *Server) rank(w http.ResponseWriter, r *http.Request) (int, bool) {
	rank, err := strconv.Atoi(r.PathValue("rank"))
	if err != nil || rank < 0 || rank >= s.group.size() {
		http.Error(w, "no such rank", http.StatusNotFound)
		return 0, false
	}
	return rank, true
}

func (s *Server) state(w http.ResponseWriter, r *http.Request) {
	rank, ok := s.rank(w, r)
	if !ok {
		return
	}
	state, _ := s.group.Engine(rank).State(r.Context())
	serve.JSON(w, state)
}

// order carries out an order, even if its sender has disconnected meanwhile.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	rank, ok := s.rank(w, r)
	if !ok {
		return
	}
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(s.delay(rank))
	done, err := carryOut(s.group.Engine(rank), order)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	serve.JSON(w, Done{done})
}

// carryOut gives an order to an engine and reports whether the engine carried it
// out. An order without a map, hold or decision only raises the fencing number.
func carryOut(engine expertmap.Engine, order Order) (bool, error) {
	ctx := context.Background()
	switch {
	case order.Map != nil:
		return true, engine.Stage(ctx, order.Fencing, *order.Map)
	case order.Hold != nil:
		return engine.Hold(ctx, order.Fencing, *order.Hold)
	case order.Decision != nil:
		return engine.Follow(ctx, order.Fencing, *order.Decision)
	default:
		return true, engine.Fence(ctx, order.Fencing)
	}
}

func (s *Server) delay(rank int) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.orderDelays[rank]
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	report, ok := s.group.Report()
	if !ok {
		http.Error(w, "no report yet", http.StatusServiceUnavailable)
		return
	}
	serve.JSON(w, report)
}

func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, rank := range []*int{faults.Stall, faults.Resume, faults.Replace, faults.LateRank} {
		if rank != nil && (*rank < 0 || *rank >= s.group.size()) {
			http.Error(w, "no such rank", http.StatusBadRequest)
			return
		}
	}
	s.apply(faults)
}

func (s *Server) apply(faults Faults) {
	if faults.Stall != nil {
		s.group.Stall(*faults.Stall, true)
	}
	if faults.Resume != nil {
		s.group.Stall(*faults.Resume, false)
	}
	if faults.Replace != nil {
		s.group.Replace(*faults.Replace, s.initial)
	}
	if faults.LateRank != nil {
		s.lock.Lock()
		s.orderDelays[*faults.LateRank] = time.Duration(faults.LateOrderMS) * time.Millisecond
		s.lock.Unlock()
	}
}
