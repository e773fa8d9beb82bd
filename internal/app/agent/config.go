package agent

import (
	"net"
	"net/url"
	"time"

	"quetzalbend/internal/adapter/keys"
	"quetzalbend/internal/core/check"
)

// Bounds and defaults of Config.
const (
	defaultGraceMS        = 30_000
	maxGraceMS            = 3_600_000
	defaultLoadIntervalMS = 50
	maxLoadIntervalMS     = 10_000
	defaultOrderLifeMS    = 5_000
	maxOrderLifeMS        = 600_000
	defaultMemoryBytes    = 1 << 30
	minMemoryBytes        = 16 << 20
	maxMemoryBytes        = 1 << 40
	wantBaseURL           = "a base URL such as http://127.0.0.1:7000"
	wantListen            = "an IP address and port such as 127.0.0.1:7000"
	wantTargetName        = "the name of the target in the settings"
)

// Config is the start-up file of an agent.
type Config struct {
	Name           string      `json:"name"`                       // of the target
	VM             string      `json:"vm,omitempty"`               // name in the platform's list of VMs, default: the target's name
	FailureDomain  string      `json:"failure_domain"`             // of the VM
	Listen         string      `json:"listen"`                     // IP address and port for entries and other agents
	HTTPListen     string      `json:"http_listen"`                // IP address and port for health and metrics
	Engine         string      `json:"engine,omitempty"`           // base URL; either this or service
	Service        string      `json:"service,omitempty"`          // base URL
	ServiceName    string      `json:"service_name,omitempty"`     // as in the settings
	Team           string      `json:"team,omitempty"`             // that owns the service
	Platform       string      `json:"platform,omitempty"`         // base URL
	Rank           *Rank       `json:"rank,omitempty"`             // set if the target is a rank of a group
	LinksTLS       *keys.Files `json:"links_tls,omitempty"`        // mutual TLS with entries, default: plain TCP
	GraceMS        int64       `json:"grace_ms,omitempty"`         // for running work when the target leaves, default 30000
	LoadIntervalMS int64       `json:"load_interval_ms,omitempty"` // between readings of the engine's load, default 50
	OrderLifeMS    int64       `json:"order_life_ms,omitempty"`    // time for which a sent order may still reach the engine, default 5000
	MemoryBytes    int64       `json:"memory_bytes,omitempty"`     // that the process may use, default 1073741824
}

// Check fills in defaults and returns the problems that it finds.
func Check(config *Config) []check.Problem {
	config.setDefaults()
	report := check.NewReport("")
	config.checkNames(report)
	config.checkAddresses(report)
	report.Range("grace_ms", config.GraceMS, 1, maxGraceMS, "milliseconds")
	report.Range("load_interval_ms", config.LoadIntervalMS, 1, maxLoadIntervalMS, "milliseconds")
	report.Range("order_life_ms", config.OrderLifeMS, 1, maxOrderLifeMS, "milliseconds")
	report.Range("memory_bytes", config.MemoryBytes, minMemoryBytes, maxMemoryBytes, "bytes")
	if config.Rank != nil {
		config.Rank.check(report)
	}
	if config.LinksTLS != nil {
		config.LinksTLS.Check(report, "links_tls")
	}
	return report.Problems()
}

func (c *Config) setDefaults() {
	if c.VM == "" {
		c.VM = c.Name
	}
	defaults := []struct {
		field *int64
		value int64
	}{
		{&c.GraceMS, defaultGraceMS},
		{&c.LoadIntervalMS, defaultLoadIntervalMS},
		{&c.OrderLifeMS, defaultOrderLifeMS},
		{&c.MemoryBytes, defaultMemoryBytes},
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
}

func (c *Config) checkNames(report *check.Report) {
	if c.Name == "" {
		report.Add("name", c.Name, wantTargetName)
	}
	if c.FailureDomain == "" {
		report.Add("failure_domain", c.FailureDomain, "the name of the VM's failure domain")
	}
	if (c.Engine == "") == (c.Service == "") {
		report.Add("engine", c.Engine, wantBaseURL+", in exactly one of engine and service")
	}
	if c.Service == "" {
		return
	}
	if c.ServiceName == "" {
		report.Add("service_name", c.ServiceName, "the name of the service in the settings")
	}
	if c.Team == "" {
		report.Add("team", c.Team, "the team that owns the service")
	}
	if c.Platform == "" {
		report.Add("platform", c.Platform, wantBaseURL+", since claims are kept in the platform's log")
	}
}

func (c *Config) checkAddresses(report *check.Report) {
	listeners := []struct{ field, value string }{{"listen", c.Listen}, {"http_listen", c.HTTPListen}}
	for _, l := range listeners {
		host, _, err := net.SplitHostPort(l.value)
		if err != nil || net.ParseIP(host) == nil {
			report.Add(l.field, l.value, wantListen)
		}
	}
	urls := []struct{ field, value string }{{"engine", c.Engine}, {"service", c.Service}, {"platform", c.Platform}}
	for _, u := range urls {
		if u.value == "" {
			continue
		}
		if !isBaseURL(u.value) {
			report.Add(u.field, u.value, wantBaseURL)
		}
	}
}

func isBaseURL(value string) bool {
	parsed, err := url.Parse(value)
	return err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
}

func (c *Config) grace() time.Duration { return milliseconds(c.GraceMS) }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
