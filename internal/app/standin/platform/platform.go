package platform

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/memorylog"
	"quetzalbend/internal/port"
)

const (
	defaultAppendsPerSecond     = 400
	defaultWeightBytesPerSecond = 64 << 20
	readHeaderTimeout           = 5 * time.Second
	shutdownTimeout             = 2 * time.Second
)

// Config is the start-up configuration of the stand-in.
type Config struct {
	Listen               string           `json:"listen"`                  // IP address and port
	AppendsPerSecond     float64          `json:"appends_per_second"`      // rate of append calls, default 400
	RetentionMS          int64            `json:"retention_ms"`            // 0: records never expire by age
	RetentionRecords     int              `json:"retention_records"`       // 0: records never expire by count
	VMs                  []port.VM        `json:"vms"`                     // list at the start
	VMListLagMS          int64            `json:"vm_list_lag_ms"`          // until a change is visible in the list
	WeightBytesPerSecond float64          `json:"weight_bytes_per_second"` // for the whole store, default 64 MiB
	Weights              map[string]int64 `json:"weights"`                 // size of each file, in bytes
}

// Faults are the faults to inject. Fields that are nil change nothing.
type Faults struct {
	Down         *bool            `json:"down,omitempty"`            // refuses all calls
	LoseAnswers  *int             `json:"lose_answers,omitempty"`    // number of next appends whose answer is lost
	LateAppendMS *int64           `json:"late_appends_ms,omitempty"` // time after which an append takes effect; its caller gets a timeout
	DelayMS      *int64           `json:"delay_ms,omitempty"`        // of each call
	Cut          *[]string        `json:"cut,omitempty"`             // nodes whose connections break
	VMs          *[]port.VM       `json:"vms,omitempty"`             // new list of VMs
	ExpireBefore map[string]int64 `json:"expire_before,omitempty"`   // oldest offset to keep, by stream
	LoseNewest   *int             `json:"lose_newest,omitempty"`     // number of newest records that each stream loses, as it comes back from an older copy
}

// Truth is what really happened so far.
type Truth struct {
	Streams map[string]memorylog.Totals `json:"streams"`
}

// Platform is the stand-in's state.
type Platform struct {
	log     *memorylog.Log
	appends *bucket
	weights *bucket
	sizes   map[string]int64
	lag     time.Duration // until a change of the VMs is visible in the list

	mu      sync.Mutex
	faults  faultState
	changed chan struct{} // closed and replaced at each change of the faults
	vms     []vmList      // the visible list and later ones
}

// faultState is the set of faults in force.
type faultState struct {
	down        bool
	loseAnswers int           // number of next appends whose answer is lost
	lateAppend  time.Duration // time after which an append takes effect
	delay       time.Duration // of each call
	cut         []string      // nodes whose connections break
}

// vmList is a list of VMs that is visible from a time on.
type vmList struct {
	from    time.Time
	vms     []port.VM
	version int
}

// New returns a platform without faults.
func New(cfg Config) *Platform {
	if cfg.AppendsPerSecond <= 0 {
		cfg.AppendsPerSecond = defaultAppendsPerSecond
	}
	if cfg.WeightBytesPerSecond <= 0 {
		cfg.WeightBytesPerSecond = defaultWeightBytesPerSecond
	}
	return &Platform{
		log: memorylog.New(memorylog.Retention{
			Age:     time.Duration(cfg.RetentionMS) * time.Millisecond,
			Records: cfg.RetentionRecords,
		}),
		appends: newBucket(cfg.AppendsPerSecond, cfg.AppendsPerSecond),
		weights: newBucket(cfg.WeightBytesPerSecond, cfg.WeightBytesPerSecond/10),
		sizes:   cfg.Weights,
		lag:     time.Duration(cfg.VMListLagMS) * time.Millisecond,
		changed: make(chan struct{}),
		vms:     []vmList{{vms: cfg.VMs}},
	}
}

// Run serves until ctx ends.
func Run(ctx context.Context, cfg Config) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", cfg.Listen)
	if err != nil {
		return errors.Wrapf(err, "platform stand-in: listen on %s", cfg.Listen)
	}
	server := &http.Server{
		Handler:           New(cfg).Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	log.WithField("listen", listener.Addr().String()).Info("platform stand-in serving")
	stop := context.AfterFunc(ctx, func() {
		shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdown) != nil {
			_ = server.Close()
		}
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "platform stand-in: serve on %s", cfg.Listen)
	}
	return nil
}

// Log returns the log, to which no faults apply.
func (p *Platform) Log() *memorylog.Log { return p.log }

// SetFaults changes the faults that are not nil.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults.Down != nil {
		p.faults.down = *faults.Down
	}
	if faults.LoseAnswers != nil {
		p.faults.loseAnswers = *faults.LoseAnswers
	}
	if faults.LateAppendMS != nil {
		p.faults.lateAppend = time.Duration(*faults.LateAppendMS) * time.Millisecond
	}
	if faults.DelayMS != nil {
		p.faults.delay = time.Duration(*faults.DelayMS) * time.Millisecond
	}
	if faults.Cut != nil {
		p.faults.cut = slices.Clone(*faults.Cut)
	}
	if faults.VMs != nil {
		p.vms = append(p.vms, vmList{
			from: time.Now().Add(p.lag), vms: slices.Clone(*faults.VMs), version: p.vms[len(p.vms)-1].version + 1,
		})
	}
	if faults.LoseNewest != nil {
		p.log.LoseNewest(*faults.LoseNewest)
	}
	for stream, offset := range faults.ExpireBefore {
		p.log.ExpireBefore(stream, offset)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// currentFaults returns the faults in force and the channel that closes at
// their next change.
func (p *Platform) currentFaults() (faultState, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed
}

// takeLostAnswer reports whether the answer to this append must be lost, and if so
// counts loseAnswers down.
func (p *Platform) takeLostAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.loseAnswers <= 0 {
		return false
	}
	p.faults.loseAnswers--
	return true
}

// listedVMs returns the list that is visible at a time, and its version.
func (p *Platform) listedVMs(now time.Time) ([]port.VM, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.vms) > 1 && !now.Before(p.vms[1].from) {
		p.vms = p.vms[1:]
	}
	return p.vms[0].vms, p.vms[0].version
}
