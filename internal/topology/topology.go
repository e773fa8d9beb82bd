package topology

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"

	"quetzalbend/internal/app/agent"
	"quetzalbend/internal/app/entry"
	"quetzalbend/internal/app/standin/engine"
	"quetzalbend/internal/app/standin/platform"
	"quetzalbend/internal/app/standin/ranks"
	"quetzalbend/internal/app/standin/service"
	"quetzalbend/internal/port"
	"quetzalbend/internal/settingssync"
)

// Names of programs.
const (
	EntryProgram   = "quetzalbend-entry"
	AgentProgram   = "quetzalbend-agent"
	StandinProgram = "quetzalbend-standin"
)

// Names in the settings that New writes.
const (
	Team          = "association"
	Model         = "drafter"
	Workload      = "drafting"
	BatchWorkload = "summaries"
	Service       = "entries" // a service of the demo; not related to the entries that EntryProgram runs
	Account       = "port-louis"
	AccountToken  = "port-louis-token" //nolint:gosec // a made-up account of the demo
	SecondAccount = "rodrigues"
	SecondToken   = "rodrigues-token" //nolint:gosec // a made-up account of the demo
	OperatorToken = "operator-token"  //nolint:gosec // a made-up operator of the demo
)

const (
	entryNoticeMS = 300
	entryGraceMS  = 20000
	agentGraceMS  = 5000
	targetLimit   = 32
)

// Options configure a system. Entries, Engines and Services are counts for each
// failure domain.
type Options struct {
	Domains  int
	Entries  int
	Engines  int
	Services int
	Group    ranks.Config // a group with a target for each of its ranks; without ranks there is no group
	Queue    int          // requests that may wait at the agent of an engine
	Platform platform.Config
	Engine   engine.Config
	Agent    agent.Config // bounds and grace times only
	Entry    entry.Config // bounds, routing and grace times only

	// Forward returns the address at which others reach the listener at address
	// in domain. If it is nil, they use address itself.
	Forward func(domain, address string) (string, error)
}

// Process is one process of a system.
type Process struct {
	Name          string
	FailureDomain string
	Program       string
	Subcommand    string // of StandinProgram
	Config        any    // start-up file
	Base          string // base URL of the callers' listener of an entry or of the API of a stand-in
	Operators     string // base URL of health checks, metrics and an entry's administration API
}

// Setting is one value that operators write.
type Setting struct {
	Path  string
	Value any
}

// System holds the processes and settings of a system. A setting refers only to
// earlier ones.
type System struct {
	Processes []Process // in start order
	Settings  []Setting // in write order
}

// builder collects the parts of one system and the first error.
type builder struct {
	options     Options
	system      System
	entries     []entry.Config
	platformURL string // base URL
	err         error
}

// New returns a system whose listeners use free ports.
func New(options Options) (*System, error) {
	b := &builder{options: options}
	b.platform()
	for d := range options.Domains {
		b.set("/domains/"+DomainName(d), map[string]any{"state": "in"})
	}
	b.teamSettings()
	for d := range options.Domains {
		b.domain(d)
	}
	b.group()
	b.addEntries()
	if b.err != nil {
		return nil, b.err
	}
	return &b.system, nil
}

// DomainName returns the name of the failure domain with index d.
func DomainName(d int) string { return string(rune('a' + d)) }

// DomainIP returns the loopback IP of the failure domain with index d.
func DomainIP(d int) string { return fmt.Sprintf("127.0.%d.1", d+1) }

// platform adds the stand-in for the platform, with a VM for each engine and each
// service.
func (b *builder) platform() {
	config := b.options.Platform
	config.Listen = b.listenAddress(0)
	for d := range b.options.Domains {
		for _, name := range b.targetNames(d) {
			config.VMs = append(config.VMs, port.VM{Name: "vm-" + name, FailureDomain: DomainName(d), State: port.VMLive})
		}
	}
	b.platformURL = "http://" + config.Listen
	b.add(Process{
		Name: "platform", Program: StandinProgram, Subcommand: "platform",
		Config: config, Base: b.platformURL,
	})
}

func (b *builder) targetNames(d int) []string {
	var names []string
	for i := range b.options.Engines {
		names = append(names, b.processName("engine", d, i))
	}
	for i := range b.options.Services {
		names = append(names, b.processName("service", d, i))
	}
	return names
}

// processName returns the name of a process, such as engine-a1.
func (b *builder) processName(kind string, d, i int) string {
	return kind + "-" + DomainName(d) + strconv.Itoa(i+1)
}

// domain adds the engines and services of a failure domain with their agents and
// collects its entries.
func (b *builder) domain(d int) {
	for i := range b.options.Engines {
		b.engine(d, b.processName("engine", d, i))
	}
	for i := range b.options.Services {
		b.service(d, b.processName("service", d, i))
	}
	for i := range b.options.Entries {
		b.collectEntry(d, b.processName("entry", d, i))
	}
}

// engine adds the stand-in for an engine, its agent and its target.
func (b *builder) engine(d int, name string) {
	config := b.options.Engine
	config.Listen = b.listenAddress(d)
	base := "http://" + config.Listen
	b.add(Process{
		Name: name, FailureDomain: DomainName(d), Program: StandinProgram, Subcommand: "engine",
		Config: config, Base: base,
	})
	agentConfig := b.agentConfig(d, name)
	agentConfig.Engine = base
	b.agent(d, name, agentConfig, map[string]any{
		"kind":   "model",
		"serves": []string{Model},
		"queue":  b.options.Queue,
	})
}

// service adds the stand-in for a service, its agent and its target.
func (b *builder) service(d int, name string) {
	config := service.Config{Listen: b.listenAddress(d)}
	base := "http://" + config.Listen
	b.add(Process{
		Name: name, FailureDomain: DomainName(d), Program: StandinProgram, Subcommand: "service",
		Config: config, Base: base,
	})
	agentConfig := b.agentConfig(d, name)
	agentConfig.Service = base
	agentConfig.ServiceName = Service
	agentConfig.Team = Team
	b.agent(d, name, agentConfig, map[string]any{"kind": "service", "serves": []string{Service}})
}

func (b *builder) agentConfig(d int, name string) agent.Config {
	config := b.options.Agent
	config.Name = name
	config.VM = "vm-" + name
	config.FailureDomain = DomainName(d)
	config.Listen = b.listenAddress(d)
	config.HTTPListen = b.listenAddress(d)
	config.Platform = b.platformURL
	if config.GraceMS == 0 {
		config.GraceMS = agentGraceMS
	}
	return config
}

// agent adds the agent of a target and the target's setting, in which it fills in
// the fields that targets of all kinds have.
func (b *builder) agent(d int, target string, config agent.Config, setting map[string]any) {
	b.add(Process{
		Name: "agent-" + target, FailureDomain: DomainName(d), Program: AgentProgram,
		Config: config, Operators: "http://" + config.HTTPListen,
	})
	setting["agent"] = b.forward(d, config.Listen)
	setting["failure_domain"] = DomainName(d)
	setting["team"] = Team
	setting["state"] = "in"
	setting["vm"] = config.VM
	setting["cold_limit"] = max(b.options.Engine.ColdLimit, 1)
	if setting["kind"] == "service" {
		setting["cold_limit"] = targetLimit
	}
	setting["max_limit"] = max(targetLimit, b.options.Engine.ColdLimit)
	b.set("/targets/"+target, setting)
}

// collectEntry configures an entry, whose process addEntries adds once the
// addresses of all entries are known.
func (b *builder) collectEntry(d int, name string) {
	config := b.options.Entry
	config.Name = name
	config.FailureDomain = DomainName(d)
	config.CallersListen = b.listenAddress(d)
	config.OperatorsListen = b.listenAddress(d)
	config.PeersListen = b.listenAddress(d)
	config.DialFrom = DomainIP(d)
	config.Platform = b.platformURL
	config.BootstrapOperatorTokenSHA256 = hashOf(OperatorToken)
	if config.NoticeMS == 0 {
		config.NoticeMS = entryNoticeMS
	}
	if config.GraceMS == 0 {
		config.GraceMS = entryGraceMS
	}
	b.entries = append(b.entries, config)
}

// addEntries adds the processes of all entries, each with the others as peers.
func (b *builder) addEntries() {
	addresses := make([]string, len(b.entries))
	for i, config := range b.entries {
		addresses[i] = b.forward(domainIndex(config.FailureDomain), config.PeersListen)
	}
	for i, config := range b.entries {
		for j, address := range addresses {
			if i != j {
				config.Peers = append(config.Peers, settingssync.Peer{
					Name:          b.entries[j].Name,
					Addr:          address,
					FailureDomain: b.entries[j].FailureDomain,
				})
			}
		}
		b.add(Process{
			Name: config.Name, FailureDomain: config.FailureDomain, Program: EntryProgram,
			Config: config, Base: "http://" + config.CallersListen, Operators: "http://" + config.OperatorsListen,
		})
	}
}

func (b *builder) teamSettings() {
	team := "/teams/" + Team
	b.set(team, map[string]any{"share": 1, "limits": map[string]any{}})
	b.set(team+"/models/"+Model, map[string]any{"versions": []string{"v1"}})
	b.set(team+"/workloads/"+Workload, map[string]any{"model": Model, "class": "interactive", "timeout_ms": 20000})
	b.set(team+"/workloads/"+BatchWorkload, map[string]any{"model": Model, "class": "batch", "timeout_ms": 60000})
	b.set(team+"/services/"+Service, map[string]any{
		"routes": []map[string]any{
			{"method": "GET", "path_prefix": "/", "idempotent": true, "class": "interactive"},
			{"method": "POST", "path_prefix": "/", "idempotent": false, "class": "certificate"},
		},
		"timeout_ms":    10000,
		"key_window_ms": 3600000,
	})
	b.set(team+"/accounts/"+Account, map[string]any{"token_sha256": hashOf(AccountToken), "limits": map[string]any{}})
	b.set(team+"/accounts/"+SecondAccount, map[string]any{"token_sha256": hashOf(SecondToken), "limits": map[string]any{}})
}

func (b *builder) add(process Process) { b.system.Processes = append(b.system.Processes, process) }

func (b *builder) set(path string, value any) {
	b.system.Settings = append(b.system.Settings, Setting{Path: path, Value: value})
}

func (b *builder) forward(d int, address string) string {
	if b.options.Forward == nil {
		return address
	}
	forwarded, err := b.options.Forward(DomainName(d), address)
	if err != nil && b.err == nil {
		b.err = err
	}
	return forwarded
}

// listenAddress returns the IP address of a failure domain with a port that is
// free now.
func (b *builder) listenAddress(d int) string {
	listenAddress, err := freeAddress(DomainIP(d))
	if err != nil && b.err == nil {
		b.err = err
	}
	return listenAddress
}

func domainIndex(name string) int { return int(name[0] - 'a') }

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
