package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/app/entry"
	"quetzalbend/internal/app/load/caller"
	"quetzalbend/internal/core/check"
	"quetzalbend/internal/pause"
	"quetzalbend/internal/settingssync"
)

// entryProcess is one entry.
type entryProcess struct {
	*entry.Entry

	domain    string
	client    *caller.Client // reaches it through the network
	operators string         // base URL of its operators listener, through the network
}

const readyPoll = 20 * time.Millisecond

// startEntries starts all entries, each with all others as peers.
func (f *Fleet) startEntries(context.Context) error {
	var allPeers []settingssync.Peer
	var setTargets []func(string)
	for _, domain := range f.cfg.Domains {
		for range f.cfg.Entries {
			addr, setTarget, err := f.network.Reserve(domain)
			if err != nil {
				return err
			}
			allPeers = append(allPeers, settingssync.Peer{Name: f.name("e", len(allPeers)), Addr: addr, FailureDomain: domain})
			setTargets = append(setTargets, setTarget)
		}
	}
	for i, self := range allPeers {
		peers := slices.Delete(slices.Clone(allPeers), i, i+1)
		e, err := f.startEntry(self.Name, self.FailureDomain, peers)
		if err != nil {
			return err
		}
		setTargets[i](e.PeersAddr())
		f.entries = append(f.entries, e)
	}
	return nil
}

func (f *Fleet) startEntry(name, domain string, peers []settingssync.Peer) (*entryProcess, error) {
	cfg := entry.Config{
		Name:                         name,
		FailureDomain:                domain,
		CallersListen:                loopback,
		OperatorsListen:              loopback,
		PeersListen:                  loopback,
		Peers:                        peers,
		DialFrom:                     f.dialFrom[domain],
		Platform:                     f.platformURL,
		BootstrapOperatorTokenSHA256: digest(operatorToken),
		Routing:                      entry.Routing{Strategy: f.cfg.Strategy},
		NoticeMS:                     1,
		GraceMS:                      1,
	}
	if problems := entry.Check(&cfg); len(problems) > 0 {
		return nil, &check.Error{Problems: problems}
	}
	started, err := entry.New(cfg)
	if err != nil {
		return nil, err
	}
	f.group.Go(func() error { return started.Run(f.ctx) })
	callers, err := f.network.Forward(domain, started.CallersAddr())
	if err != nil {
		return nil, err
	}
	operators, err := f.network.Forward(domain, started.OperatorsAddr())
	if err != nil {
		return nil, err
	}
	e := &entryProcess{Entry: started, domain: domain, client: newClient("http://" + callers), operators: "http://" + operators}
	f.Balancer.Add(callers, e.operators)
	return e, nil
}

// awaitReady waits until every entry is ready with the settings in force.
func (f *Fleet) awaitReady(ctx context.Context) error {
	for _, e := range f.entries {
		for !f.Balancer.ready(ctx, e.operators+"/readyz") {
			if !pause.For(ctx, readyPoll) {
				return errors.Wrap(ctx.Err(), "wait for entries")
			}
		}
	}
	return f.settings.awaitInForce(ctx)
}
