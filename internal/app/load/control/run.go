package control

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/settingssync"
)

const (
	changesPerDay = 2900
	secondsPerDay = 24 * 60 * 60
	startTimeout  = 2 * time.Minute
	changeTimeout = 30 * time.Second
	settleTime    = 5 * time.Second
)

// Run runs the experiment.
func (c *Command) Run(ctx context.Context) (Result, error) {
	if c.Nodes < 1 || c.Targets < 0 || c.Accounts < 1 || c.Domains < 1 || c.Changes < 1 || c.Idle <= 0 {
		return Result{}, errors.New("control: all sizes and times must be above 0")
	}
	log.SetLevel(log.ErrorLevel)
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	f, err := newFleet(ctx, c.Accounts, c.KeepAliveInterval)
	if err != nil {
		cancel()
		return Result{}, err
	}
	result := Result{Seed: c.Seed, Nodes: c.Nodes, Targets: c.Targets, Accounts: c.Accounts, KeepAliveMS: c.KeepAliveInterval.Milliseconds()}
	if err = f.measureState(ctx, &result); err == nil {
		err = c.measure(ctx, group, f, &result)
	}
	cancel()
	f.stop()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	return result, err
}

// measure starts the fleet and fills in the result.
func (c *Command) measure(ctx context.Context, group *errgroup.Group, f *fleet, result *Result) error {
	before := heapInUse()
	began := time.Now()
	agents, err := f.startAgents(c.Targets, c.Domains)
	if err != nil {
		return err
	}
	if err := f.startNodes(ctx, group, c.Nodes, c.Domains, agents); err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.awaitOffset(startCtx, f.lastOffset()); err != nil {
		return err
	}
	result.StartMS = milliseconds(time.Since(began))
	if err := wait(ctx, settleTime); err != nil {
		return err
	}
	result.ResidentBytesPerNode = (heapInUse() - before) / float64(c.Nodes)
	if err := c.measureIdle(ctx, f, result); err != nil {
		return err
	}
	if err := c.measureChanges(ctx, f, result); err != nil {
		return err
	}
	c.sumPerNode(result)
	return nil
}

// measureIdle measures traffic and processor time without changes.
func (c *Command) measureIdle(ctx context.Context, f *fleet, result *Result) error {
	meters := f.meters()
	start := readAll(meters)
	cpu := processTime()
	began := time.Now()
	if err := wait(ctx, c.Idle); err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	for i, l := range result.links() {
		now := meters[i].read()
		l.Connections = meters[i].connections.Load()
		l.IdleBytesPerSecond = float64(now.bytes-start[i].bytes) / seconds
		l.IdlePacketsPerSecond = float64(now.packets-start[i].packets) / seconds
	}
	result.IdleCPUPercentPerNode = 100 * (processTime() - cpu).Seconds() / seconds / float64(c.Nodes)
	return nil
}

// measureChanges writes settings one after the other through random entries and
// measures what each costs above the idle cost.
func (c *Command) measureChanges(ctx context.Context, f *fleet, result *Result) error {
	random := rand.New(rand.NewPCG(c.Seed, 2))
	meters := f.meters()
	start := readAll(meters)
	cpu := processTime()
	began := time.Now()
	var inForceMS []float64
	for i := range c.Changes {
		duration, err := c.measureChange(ctx, f, f.nodes[random.IntN(len(f.nodes))], i, random.IntN(c.Domains))
		if err != nil {
			return err
		}
		inForceMS = append(inForceMS, milliseconds(duration))
	}
	seconds := time.Since(began).Seconds()
	for i, l := range result.links() {
		transferred := float64(meters[i].read().bytes - start[i].bytes)
		l.BytesPerChange = max(0, (transferred-l.IdleBytesPerSecond*seconds)/float64(c.Changes))
	}
	idle := result.IdleCPUPercentPerNode / 100 * float64(c.Nodes) * seconds
	result.CPUMSPerChange = max(0, 1000*((processTime()-cpu).Seconds()-idle)/float64(c.Changes))
	slices.Sort(inForceMS)
	result.InForceMSP50 = inForceMS[len(inForceMS)/2]
	result.InForceMSMax = inForceMS[len(inForceMS)-1]
	return nil
}

// measureChange writes one setting and returns the time until all nodes and
// agents have it.
func (c *Command) measureChange(ctx context.Context, f *fleet, node *settingssync.Node, number, domain int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	value, err := json.Marshal(map[string]string{"state": "in", "region": fmt.Sprintf("region-%d", number)})
	if err != nil {
		return 0, err
	}
	began := time.Now()
	result, err := node.Put(ctx, settingssync.WriteRequest{
		Path: fmt.Sprintf("/domains/domain-%d", domain), Value: value, Author: "operator-1",
	})
	if err != nil {
		return 0, err
	}
	if result.Status != settingssync.Accepted {
		return 0, errors.Errorf("change %d: %s: %s", number, result.Status, result.Reason)
	}
	err = f.awaitOffset(ctx, result.Offset)
	return time.Since(began), errors.Wrapf(err, "change %d", number)
}

// sumPerNode fills in the traffic of one node from that of all connections.
func (c *Command) sumPerNode(result *Result) {
	nodes := float64(c.Nodes)
	for _, l := range result.links() {
		divisor := nodes
		if l == &result.Peers {
			divisor = nodes / 2 // each byte between entries counts for two of them
		}
		result.IdleBytesPerSecondPerNode += l.IdleBytesPerSecond / divisor
		result.IdlePacketsPerNode += l.IdlePacketsPerSecond / divisor
		result.BytesPerChangePerNode += l.BytesPerChange / divisor
	}
	result.BytesPerSecondPerNode = result.IdleBytesPerSecondPerNode + result.BytesPerChangePerNode*changesPerDay/secondsPerDay
}

// measureState measures the heap that one copy of the settings takes, and that of
// the tables that an entry builds from it.
func (f *fleet) measureState(ctx context.Context, result *Result) error {
	before := heapInUse()
	snapshot, err := settingssync.Load(ctx, f.platform.Log())
	if err != nil {
		return err
	}
	after := heapInUse()
	result.StateBytes = after - before
	tables := catalog.Build(snapshot)
	result.CatalogBytes = heapInUse() - after
	runtime.KeepAlive(snapshot)
	runtime.KeepAlive(tables)
	return nil
}

func (r *Result) links() []*Link { return []*Link{&r.Platform, &r.Peers, &r.Agents} }

func (f *fleet) meters() []*meter { return []*meter{&f.platformLink, &f.peerLink, &f.agentLink} }

func readAll(meters []*meter) []reading {
	readings := make([]reading, len(meters))
	for i, m := range meters {
		readings[i] = m.read()
	}
	return readings
}

// heapInUse returns the bytes of live heap and of stacks.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// wait waits for a duration or the end of ctx.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
