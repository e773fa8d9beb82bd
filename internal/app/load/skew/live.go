package skew

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/adapter/rankengine"
	"quetzalbend/internal/adapter/rankpeers"
	"quetzalbend/internal/app/standin/ranks"
	"quetzalbend/internal/app/standin/serve"
	"quetzalbend/internal/core/balance"
	"quetzalbend/internal/core/expertmap"
	"quetzalbend/internal/mapgroup"
	"quetzalbend/internal/wire"
)

const (
	policyLive        = "live"
	liveGroup         = "live"
	loopback          = "127.0.0.1:0"
	askTimeout        = time.Second
	maxLiveRanks      = 64
	truthPollInterval = 20 * time.Millisecond
)

// liveRun runs the planner behind the map protocol: the agents' map group
// runners connected over the link, and rank stand-ins reached over HTTP, all on
// loopback.
type liveRun struct {
	options Options
	shape   balance.Shape
	group   *ranks.Group
	runners []*mapgroup.Runner
}

// RunLive replays one trace through the map protocol and returns its figures.
func RunLive(ctx context.Context, o Options) (Result, error) {
	if err := o.check(); err != nil {
		return Result{}, err
	}
	if o.Ranks > maxLiveRanks {
		return Result{}, errors.Errorf("--live takes at most %d ranks", maxLiveRanks)
	}
	shape, err := balance.EvenShape(o.Ranks, o.Experts, o.slots())
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	run := &liveRun{options: o, shape: shape}
	var group errgroup.Group
	err = run.start(ctx, &group)
	if err == nil {
		err = run.await(ctx)
	}
	cancel()
	if ended := group.Wait(); err == nil {
		err = ended
	}
	return run.result(), err
}

// start starts the engines, then a link server and a runner for each rank.
func (l *liveRun) start(ctx context.Context, group *errgroup.Group) error {
	base, err := l.startEngines(ctx, group)
	if err != nil {
		return err
	}
	listeners := make([]net.Listener, l.options.Ranks)
	addresses := make([]string, l.options.Ranks)
	for r := range listeners {
		if listeners[r], err = net.Listen("tcp", loopback); err != nil {
			return errors.Wrap(err, "listen for agents")
		}
		addresses[r] = listeners[r].Addr().String()
	}
	for r, listener := range listeners {
		if err := l.startAgent(ctx, group, r, base, listener, addresses); err != nil {
			return err
		}
	}
	return nil
}

func (l *liveRun) startEngines(ctx context.Context, group *errgroup.Group) (string, error) {
	first, err := l.firstMap()
	if err != nil {
		return "", err
	}
	l.group = ranks.NewGroup(l.options.Ranks, first, true)
	l.group.SetLoad(l.load())
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen for engines")
	}
	group.Go(func() error { return serve.HTTP(ctx, listener, ranks.NewServer(l.group, first)) })
	group.Go(func() error {
		l.group.Drive(ctx, time.Duration(l.options.LiveStepUS)*time.Microsecond)
		return nil
	})
	return "http://" + listener.Addr().String(), nil
}

// workloads returns the same workloads as those of the policies in virtual time.
func (l *liveRun) workloads() []*workload {
	loads := make([]*workload, l.options.Layers)
	for i := range loads {
		loads[i] = newWorkload(l.options, rand.New(rand.NewPCG(l.options.Seed, uint64(i))))
	}
	return loads
}

func (l *liveRun) load() ranks.Load {
	loads := l.workloads()
	return ranks.Load{
		Shape: l.shape,
		At: func(step int64) ([][]float64, []float64) {
			at := min(int(step), l.options.Steps-1)
			now := trueLoads(l.options, loads, at-at%l.options.ReportSteps)
			return now.loads, now.speeds
		},
		Lag:    int64(l.options.Lag),
		Every:  int64(l.options.ReportSteps),
		Noise:  l.options.Noise,
		Random: rand.New(rand.NewPCG(l.options.Seed, 1<<32)),
	}
}

func (l *liveRun) firstMap() (m expertmap.Map, err error) {
	var layers []balance.Map
	for _, w := range l.workloads() {
		layers = append(layers, balance.Pack(l.shape, slices.Clone(w.at(0)), l.options.speeds(0)))
	}
	m.Payload, err = balance.EncodeLayers(layers)
	return m, err
}

func (l *liveRun) startAgent(ctx context.Context, group *errgroup.Group, rank int, base string, listener net.Listener, addresses []string) error {
	pool := link.NewPool(link.Config{})
	engine := rankengine.New(&http.Client{}, base, rank)
	runner, err := mapgroup.New(l.config(rank), mapgroup.Ports{Engine: engine, Reports: engine, Peers: rankpeers.New(pool, addresses)})
	if err != nil {
		return err
	}
	l.runners = append(l.runners, runner)
	server := link.NewServer(link.Config{}, func(ctx context.Context, open *wire.Open, stream *link.Stream) {
		if answer := runner.Handle(ctx, open.GetExpertMap()); answer != nil {
			_ = stream.Send(answer)
		}
	})
	var stopped sync.WaitGroup
	stopped.Add(1)
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		defer stopped.Done()
		return runner.Run(ctx)
	})
	group.Go(func() error {
		stopped.Wait()
		_ = pool.Close()
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ended)
		return nil
	})
	return nil
}

func (l *liveRun) config(rank int) mapgroup.Config {
	step := time.Duration(l.options.LiveStepUS) * time.Microsecond
	return mapgroup.Config{
		Group:          liveGroup,
		Rank:           rank,
		Ranks:          l.options.Ranks,
		Incarnation:    "agent-" + strconv.Itoa(rank),
		Layers:         l.options.Layers,
		Shape:          l.shape,
		Balance:        l.options.balance(),
		StepMS:         l.options.StepMS,
		StoreRate:      l.options.StoreRate * l.options.StepMS / (step.Seconds() * msPerSecond), // as many bytes a step as in virtual time
		ReportInterval: step * time.Duration(l.options.ReportSteps),
		PlanInterval:   step * time.Duration(l.options.IntervalSteps),
		AskTimeout:     askTimeout,
		LeadSteps:      int64(l.options.LeadSteps),
		ChecksFencing:  true,
	}
}

// await waits until the group has run the trace. It fails if ranks used different
// maps in one step.
func (l *liveRun) await(ctx context.Context) error {
	ticker := time.NewTicker(truthPollInterval)
	defer ticker.Stop()
	limit := time.Duration(l.options.Steps) * time.Duration(l.options.LiveStepUS) * time.Microsecond
	ctx, cancel := context.WithTimeout(ctx, 3*limit+time.Minute)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for the end of the trace: ranks are at steps %v", l.group.Truth().At)
		case <-ticker.C:
			truth := l.group.Truth()
			if truth.Mixed > 0 {
				return errors.Errorf("ranks used different maps in the same step %d times", truth.Mixed)
			}
			if truth.Steps >= int64(l.options.Steps) {
				return nil
			}
		}
	}
}

func (l *liveRun) result() Result {
	r := Result{Policy: policyLive}
	if l.group == nil {
		return r
	}
	r.MeanSkew = l.group.Truth().MeanSkew
	for _, runner := range l.runners {
		c := runner.Counters()
		r.Activations += int(c.Activated)
		r.Moves += int(c.Moves)
	}
	r.MovedBytes = float64(r.Moves) * l.options.ExpertBytes
	r.LowerBound = l.bound()
	return r
}

// bound returns the mean over the trace of the lower bound of the skew.
func (l *liveRun) bound() float64 {
	loads := l.workloads()
	total, count := 0.0, 0.0
	for step := 0; step < l.options.Steps; step += l.options.ReportSteps {
		now := trueLoads(l.options, loads, step)
		bound, mean := 0.0, 0.0
		for _, layer := range now.loads {
			bound += balance.LowerBound(layer, now.speeds, l.shape.TotalSlots())
			mean += balance.MeanTime(layer, now.speeds)
		}
		total += bound / mean
		count++
	}
	return total / count
}
