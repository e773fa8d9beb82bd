package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/answers"
	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/adapter/rankengine"
	"quetzalbend/internal/adapter/rankpeers"
	"quetzalbend/internal/core/balance"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/check"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/mapgroup"
	"quetzalbend/internal/wire"
)

// Rank is the part of the start-up file for a target that is a rank of a group.
// Zero means the default.
type Rank struct {
	Engine              string `json:"engine"`                           // base URL for the rank's orders and load reports
	StepMS              int64  `json:"step_ms,omitempty"`                // time of a step of the balanced group, default 40
	StoreBytesPerSecond int64  `json:"store_bytes_per_second,omitempty"` // that the group may fetch from the weight store, default 1073741824
	ReportIntervalMS    int64  `json:"report_interval_ms,omitempty"`     // between readings of the load, default 1000
	PlanIntervalMS      int64  `json:"plan_interval_ms,omitempty"`       // between plans, default 5000
	AskTimeoutMS        int64  `json:"ask_timeout_ms,omitempty"`         // for one answer of another rank, default 1000
	LeadSteps           int64  `json:"lead_steps,omitempty"`             // from the newest known step to a change, default 100
}

// Defaults and bounds of Rank.
const (
	defaultStepMS           = 40
	defaultStoreRate        = 1 << 30 // bytes a second
	defaultReportIntervalMS = 1000
	defaultPlanIntervalMS   = 5000
	defaultAskTimeoutMS     = 1000
	defaultLeadSteps        = 100
	maxRankIntervalMS       = 600_000
	maxStoreRate            = 1 << 50 // bytes a second
	maxLeadSteps            = 1_000_000
	maxEngineHeadBytes      = 64 << 10
	rankIncarnationFormat   = "%s/%d" // agent's incarnation and version of the group
)

// check fills in defaults and adds the problems that it finds to report.
func (r *Rank) check(report *check.Report) {
	if !isBaseURL(r.Engine) {
		report.Add("rank.engine", r.Engine, wantBaseURL)
	}
	for _, number := range []struct {
		field     string
		value     *int64
		def, high int64
		unit      string
	}{
		{"rank.step_ms", &r.StepMS, defaultStepMS, maxRankIntervalMS, "milliseconds"},
		{"rank.store_bytes_per_second", &r.StoreBytesPerSecond, defaultStoreRate, maxStoreRate, "bytes a second"},
		{"rank.report_interval_ms", &r.ReportIntervalMS, defaultReportIntervalMS, maxRankIntervalMS, "milliseconds"},
		{"rank.plan_interval_ms", &r.PlanIntervalMS, defaultPlanIntervalMS, maxRankIntervalMS, "milliseconds"},
		{"rank.ask_timeout_ms", &r.AskTimeoutMS, defaultAskTimeoutMS, maxRankIntervalMS, "milliseconds"},
		{"rank.lead_steps", &r.LeadSteps, defaultLeadSteps, maxLeadSteps, "steps"},
	} {
		if *number.value == 0 {
			*number.value = number.def
		}
		report.Range(number.field, *number.value, 1, number.high, number.unit)
	}
}

// membership is the place of this target's rank in its group according to the
// settings.
type membership struct {
	name      string
	version   int64 // of the group's setting
	rank      int
	group     schema.Group
	addresses []string // of the agents, by rank
}

func (m *membership) equal(other *membership) bool {
	return other != nil && m.name == other.name && m.version == other.version && slices.Equal(m.addresses, other.addresses)
}

// rankMember runs this target's rank as a member of its group. A change of the
// group's setting stops the runner and starts a new one. The new runner's group
// name contains the setting's version, so it ignores messages for the old one.
type rankMember struct {
	config      Rank
	target      string
	incarnation string
	settle      time.Duration
	pool        *link.Pool
	client      *http.Client // for the engine

	lock    sync.Mutex
	current *membership
	runner  *mapgroup.Runner
	stop    context.CancelFunc
	running sync.WaitGroup
}

func (a *Agent) newRankMember() (*rankMember, error) {
	links, err := a.peerLinkConfig()
	if err != nil {
		return nil, err
	}
	return &rankMember{
		config:      *a.config.Rank,
		target:      a.config.Name,
		incarnation: a.incarnation,
		settle:      milliseconds(a.config.OrderLifeMS),
		pool:        link.NewPool(links),
		client:      &http.Client{Transport: answers.NewTransport(&http.Transport{MaxResponseHeaderBytes: maxEngineHeadBytes})},
	}, nil
}

// peerLinkConfig returns the configuration of links to the agents of other ranks.
// They are dialled from the IP address on which this agent listens, unless that
// is unspecified.
func (a *Agent) peerLinkConfig() (link.Config, error) {
	config := link.Config{}
	host, _, _ := net.SplitHostPort(a.config.Listen)
	if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
		config.LocalIP = ip
	}
	if a.keys == nil {
		return config, nil
	}
	client, err := a.keys.ClientConfig()
	config.TLS = client
	return config, errors.Wrap(err, "links_tls")
}

// update stops the runner and starts a new one if the target's group has changed
// in the settings.
func (m *rankMember) update(ctx context.Context, view *catalog.Catalog) {
	next := membershipOf(m.target, view)
	m.lock.Lock()
	defer m.lock.Unlock()
	if next == nil && m.current == nil || next != nil && next.equal(m.current) {
		return
	}
	m.stopRunner()
	if next == nil {
		return
	}
	runner, err := mapgroup.New(m.groupConfig(view, next), m.ports(next))
	if err != nil {
		log.WithError(err).Error("cannot start balancing the group")
		return
	}
	runCtx, stop := context.WithCancel(ctx)
	m.current, m.runner, m.stop = next, runner, stop
	m.running.Go(func() { _ = runner.Run(runCtx) })
	log.WithFields(log.Fields{"group": next.name, "rank": next.rank, "version": next.version}).Info("joined group")
}

// stopRunner stops the runner. The caller holds the lock.
func (m *rankMember) stopRunner() {
	if m.stop != nil {
		m.stop()
		m.running.Wait()
	}
	m.current, m.runner, m.stop = nil, nil, nil
}

// close stops the runner and closes the links to other ranks.
func (m *rankMember) close() {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.stopRunner()
	_ = m.pool.Close()
}

// serve answers one message of another rank's agent.
func (m *rankMember) serve(ctx context.Context, message *wire.MapMessage, stream *link.Stream) {
	m.lock.Lock()
	runner := m.runner
	if runner == nil {
		m.lock.Unlock()
		return
	}
	m.running.Add(1) // stopRunner waits for this answer
	m.lock.Unlock()
	defer m.running.Done()
	if answer := runner.Handle(ctx, message); answer != nil {
		_ = stream.Send(answer)
	}
}

// membershipOf returns the group that names the target as a rank, or nil.
func membershipOf(target string, view *catalog.Catalog) *membership {
	for name, group := range view.Groups {
		rank := slices.Index(group.Ranks, target)
		if rank < 0 {
			continue
		}
		m := &membership{name: name, version: view.GroupVersion(name), rank: rank, group: group}
		for _, member := range group.Ranks {
			known, ok := view.Targets[member]
			if !ok {
				return nil // the settings of a rank's target have not arrived yet
			}
			m.addresses = append(m.addresses, known.Agent)
		}
		return m
	}
	return nil
}

func (m *rankMember) groupConfig(view *catalog.Catalog, next *membership) mapgroup.Config {
	ranks := len(next.group.Ranks)
	shape, err := balance.EvenShape(ranks, next.group.Experts, ranks*next.group.SlotsPerRank)
	if err != nil {
		log.WithError(err).Error("invalid shape of the group")
	}
	return mapgroup.Config{
		Group:          fmt.Sprintf("%s@%d", next.name, next.version),
		Rank:           next.rank,
		Ranks:          ranks,
		Incarnation:    fmt.Sprintf(rankIncarnationFormat, m.incarnation, next.version),
		Layers:         next.group.Layers,
		Shape:          shape,
		Balance:        balance.DefaultConfig(),
		StepMS:         float64(m.config.StepMS),
		StoreRate:      float64(m.config.StoreBytesPerSecond),
		ReportInterval: milliseconds(m.config.ReportIntervalMS),
		PlanInterval:   milliseconds(m.config.PlanIntervalMS),
		AskTimeout:     milliseconds(m.config.AskTimeoutMS),
		LeadSteps:      m.config.LeadSteps,
		SettleTime:     m.settle,
		ChecksFencing:  view.Targets[m.target].ChecksFencing,
	}
}

func (m *rankMember) ports(next *membership) mapgroup.Ports {
	engine := rankengine.New(m.client, m.config.Engine, next.rank)
	return mapgroup.Ports{Engine: engine, Reports: engine, Peers: rankpeers.New(m.pool, next.addresses)}
}
