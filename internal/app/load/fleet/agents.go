package fleet

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"quetzalbend/internal/app/agent"
	"quetzalbend/internal/core/check"
	"quetzalbend/internal/core/schema"
)

// agentProcess is the agent of one target. It can be replaced by a new agent
// without the state of the old one.
type agentProcess struct {
	name   string // name of the target
	domain string
	kind   schema.TargetKind
	addr   string // address in the network that forwards to it
	cfg    agent.Config
	stop   context.CancelFunc
	ended  chan struct{}
}

func (f *Fleet) startAgents(context.Context) error {
	for _, e := range f.Engines {
		cfg := agent.Config{Name: e.Target, FailureDomain: e.Domain, Engine: e.url}
		if err := f.addAgent(schema.ModelTarget, cfg); err != nil {
			return err
		}
	}
	for _, s := range f.Services {
		cfg := agent.Config{Name: s.Target, FailureDomain: s.Domain, Service: s.url, ServiceName: ServiceName, Team: Team}
		if err := f.addAgent(schema.ServiceTarget, cfg); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addAgent(kind schema.TargetKind, cfg agent.Config) error {
	var err error
	if cfg.Listen, err = f.freeAddress(); err != nil {
		return err
	}
	if cfg.HTTPListen, err = f.freeAddress(); err != nil {
		return err
	}
	cfg.Platform = f.platformURL
	cfg.GraceMS = 1
	if problems := agent.Check(&cfg); len(problems) > 0 {
		return &check.Error{Problems: problems}
	}
	a := &agentProcess{name: cfg.Name, domain: cfg.FailureDomain, kind: kind, cfg: cfg}
	if a.addr, err = f.network.Forward(a.domain, cfg.Listen); err != nil {
		return err
	}
	f.agents = append(f.agents, a)
	return f.runAgent(a)
}

// runAgent starts a new agent in place of one that has ended.
func (f *Fleet) runAgent(a *agentProcess) error {
	started, err := agent.New(a.cfg)
	if err != nil {
		return errors.Wrapf(err, "agent %s", a.name)
	}
	ctx, stop := context.WithCancel(f.ctx)
	ended := make(chan struct{})
	a.stop, a.ended = stop, ended
	f.group.Go(func() error {
		defer close(ended)
		return started.Run(ctx)
	})
	return nil
}

// Range of ports for agents, below the range that the operating system gives to
// outgoing connections.
const (
	firstPort = 20000
	lastPort  = 32000
)

// freeAddress returns a loopback address whose port is not in use. It goes
// through the range of ports in order, so that it does not return a port again
// soon.
func (f *Fleet) freeAddress() (string, error) {
	var last error
	for range lastPort - firstPort {
		port := firstPort + int(f.port.Add(1)%(lastPort-firstPort))
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, errors.Wrap(listener.Close(), "find a free port")
		}
		last = err
	}
	return "", errors.Wrap(last, "find a free port")
}

// InjectFault cuts a domain off or kills it. Engines of a killed domain drop
// their requests.
func (f *Fleet) InjectFault(domain string, condition Condition) error {
	f.network.Set(domain, condition)
	f.cutPlatform(domain, condition != Open)
	if condition != Killed {
		return nil
	}
	return f.resetEngines(domain)
}

// Replace reconnects a domain with new agents and cold engines, as after its VMs
// were replaced.
func (f *Fleet) Replace(domain string) error {
	if err := f.resetEngines(domain); err != nil {
		return err
	}
	for _, a := range f.agents {
		if a.domain != domain {
			continue
		}
		a.stop()
		<-a.ended
		if err := f.runAgent(a); err != nil {
			return err
		}
	}
	f.network.Set(domain, Open)
	f.cutPlatform(domain, false)
	return nil
}

// resetEngines makes the engines of a domain drop their requests and start cold.
func (f *Fleet) resetEngines(domain string) error {
	for _, e := range f.Engines {
		if e.Domain != domain {
			continue
		}
		response, err := http.Post(e.url+"/standin/fault", "application/json", strings.NewReader(`{"cold":true}`))
		if err != nil {
			return errors.Wrapf(err, "reset engine %s", e.Target)
		}
		_ = response.Body.Close()
	}
	return nil
}
