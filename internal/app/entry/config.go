package entry

import (
	"net"
	"net/url"
	"strconv"
	"time"

	"quetzalbend/internal/adapter/callerhttp"
	"quetzalbend/internal/adapter/keys"
	"quetzalbend/internal/core/check"
	"quetzalbend/internal/settingssync"
)

// Config is the start-up file of an entry.
type Config struct {
	Name                         string              `json:"name"`
	VM                           string              `json:"vm,omitempty"` // name in the platform's list of VMs, default: the entry's name
	FailureDomain                string              `json:"failure_domain"`
	Region                       string              `json:"region,omitempty"`
	CallersListen                string              `json:"callers_listen"`      // IP address and port
	OperatorsListen              string              `json:"operators_listen"`    // IP address and port
	PeersListen                  string              `json:"peers_listen"`        // IP address and port for links from other entries
	Peers                        []settingssync.Peer `json:"peers,omitempty"`     // other entries, each with its peers_listen
	DialFrom                     string              `json:"dial_from,omitempty"` // IP address to open links from, default: chosen by the operating system
	Platform                     string              `json:"platform"`            // base URL
	BootstrapOperatorTokenSHA256 string              `json:"bootstrap_operator_token_sha256,omitempty"`
	CallersTLS                   *keys.Files         `json:"callers_tls,omitempty"`   // default: HTTP without TLS
	OperatorsTLS                 *keys.Files         `json:"operators_tls,omitempty"` // default: HTTP without TLS
	LinksTLS                     *keys.Files         `json:"links_tls,omitempty"`     // mutual TLS to agents and entries, default: plain TCP
	Bounds                       Bounds              `json:"bounds"`
	Routing                      Routing             `json:"routing"`
	MemoryBytes                  int64               `json:"memory_bytes,omitempty"` // that the process may use, default 1073741824
	NoticeMS                     int64               `json:"notice_ms,omitempty"`    // between failing /readyz and refusing connections, default 5000
	GraceMS                      int64               `json:"grace_ms,omitempty"`     // for running requests after notice_ms, default 610000
}

// Bounds limits callers' requests and connections and the answers that are
// buffered for them. Zero means the default.
type Bounds struct {
	HeaderBytes     int64 `json:"header_bytes,omitempty"`      // default 32768
	BodyBytes       int64 `json:"body_bytes,omitempty"`        // default 1048576
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"` // default 5000
	BodyTimeoutMS   int64 `json:"body_timeout_ms,omitempty"`   // default 10000
	WriteTimeoutMS  int64 `json:"write_timeout_ms,omitempty"`  // default 15000
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty"`   // default 60000
	Connections     int64 `json:"connections,omitempty"`       // of all callers together, default 10000
	AnswerBytes     int64 `json:"answer_bytes,omitempty"`      // of an answer that is not streamed, default 16777216
}

// Routing configures the choice of targets. Zero means the default.
type Routing struct {
	Strategy     string `json:"strategy,omitempty"`       // affinity (default), least_outstanding, own_outstanding or round_robin
	NearSubset   int64  `json:"near_subset,omitempty"`    // targets considered in the own failure domain, default 16
	FarSubset    int64  `json:"far_subset,omitempty"`     // targets considered in all others, default 8
	FirstFrameMS int64  `json:"first_frame_ms,omitempty"` // until an agent that has sent nothing is given up, default 1000
	StallMS      int64  `json:"stall_ms,omitempty"`       // until a stopped stream is resumed elsewhere, default 5000
	AvoidMS      int64  `json:"avoid_ms,omitempty"`       // how long an unreachable target is left out, default 1000
}

// Values of Routing.Strategy.
const (
	StrategyAffinity         = "affinity"
	StrategyLeastOutstanding = "least_outstanding"
	StrategyOwnOutstanding   = "own_outstanding"
	StrategyRoundRobin       = "round_robin"
)

// Defaults and bounds of Config.
const (
	defaultNoticeMS     = 5000
	defaultGraceMS      = 610000 // longer than the longest timeout of a workload
	defaultNearSubset   = 16
	defaultFarSubset    = 8
	defaultFirstFrameMS = 1000
	defaultStallMS      = 5000
	defaultAvoidMS      = 1000
	defaultAnswerBytes  = 16 << 20
	hourInMS            = 3600000
	maxBytesSetting     = 64 << 20
	defaultMemoryBytes  = 1 << 30
	minMemoryBytes      = 16 << 20
	maxMemoryBytes      = 1 << 40
)

// Check fills in defaults and returns the problems that it finds.
func Check(c *Config) []check.Problem {
	report := check.NewReport("")
	checkName(report, "name", c.Name)
	checkName(report, "failure_domain", c.FailureDomain)
	checkAddress(report, "callers_listen", c.CallersListen)
	checkAddress(report, "operators_listen", c.OperatorsListen)
	checkAddress(report, "peers_listen", c.PeersListen)
	for i, peer := range c.Peers {
		field := "peers[" + strconv.Itoa(i) + "]."
		checkName(report, field+"name", peer.Name)
		checkName(report, field+"failure_domain", peer.FailureDomain)
		checkAddress(report, field+"addr", peer.Addr)
	}
	if c.DialFrom != "" && net.ParseIP(c.DialFrom) == nil {
		report.Add("dial_from", c.DialFrom, "an IP address such as 10.0.0.1")
	}
	platform, err := url.Parse(c.Platform)
	if err != nil || platform.Scheme != "http" && platform.Scheme != "https" || platform.Host == "" {
		report.Add("platform", c.Platform, "a base URL such as http://10.0.0.1:7000")
	}
	c.checkTLS(report)
	c.checkNumbers(report)
	if c.VM == "" {
		c.VM = c.Name
	}
	switch c.Routing.Strategy {
	case "":
		c.Routing.Strategy = StrategyAffinity
	case StrategyAffinity, StrategyLeastOutstanding, StrategyOwnOutstanding, StrategyRoundRobin:
	default:
		report.Add("routing.strategy", c.Routing.Strategy, "affinity, least_outstanding, own_outstanding or round_robin")
	}
	return report.Problems()
}

func (c *Config) peerNames() []string {
	names := make([]string, 0, len(c.Peers))
	for _, peer := range c.Peers {
		names = append(names, peer.Name)
	}
	return names
}

func (c *Config) checkTLS(report *check.Report) {
	if c.CallersTLS != nil {
		c.CallersTLS.Check(report, "callers_tls")
	}
	if c.OperatorsTLS != nil {
		c.OperatorsTLS.Check(report, "operators_tls")
	}
	if c.LinksTLS == nil {
		return
	}
	c.LinksTLS.Check(report, "links_tls")
	if c.LinksTLS.CAFile == "" {
		report.Add("links_tls.ca_file", c.LinksTLS.CAFile, "the name of a PEM file, since links check both ends")
	}
}

func (c *Config) checkNumbers(report *check.Report) {
	b, r := &c.Bounds, &c.Routing
	for _, number := range []struct {
		field          string
		value          *int64
		low, high, def int64
		unit           string
	}{
		{"notice_ms", &c.NoticeMS, 1, hourInMS, defaultNoticeMS, "milliseconds"},
		{"grace_ms", &c.GraceMS, 1, hourInMS, defaultGraceMS, "milliseconds"},
		{"memory_bytes", &c.MemoryBytes, minMemoryBytes, maxMemoryBytes, defaultMemoryBytes, "bytes"},
		{"bounds.header_bytes", &b.HeaderBytes, 1024, maxBytesSetting, callerhttp.DefaultHeaderBytes, "bytes"},
		{"bounds.body_bytes", &b.BodyBytes, 1024, maxBytesSetting, callerhttp.DefaultBodyBytes, "bytes"},
		{"bounds.header_timeout_ms", &b.HeaderTimeoutMS, 1, hourInMS, callerhttp.DefaultHeaderTimeout.Milliseconds(), "milliseconds"},
		{"bounds.body_timeout_ms", &b.BodyTimeoutMS, 1, hourInMS, callerhttp.DefaultBodyTimeout.Milliseconds(), "milliseconds"},
		{"bounds.write_timeout_ms", &b.WriteTimeoutMS, 1, hourInMS, callerhttp.DefaultWriteTimeout.Milliseconds(), "milliseconds"},
		{"bounds.idle_timeout_ms", &b.IdleTimeoutMS, 1, hourInMS, callerhttp.DefaultIdleTimeout.Milliseconds(), "milliseconds"},
		{"bounds.connections", &b.Connections, 1, 1000000, callerhttp.DefaultConnections, ""},
		{"bounds.answer_bytes", &b.AnswerBytes, 1024, maxBytesSetting, defaultAnswerBytes, "bytes"},
		{"routing.near_subset", &r.NearSubset, 1, 1000, defaultNearSubset, ""},
		{"routing.far_subset", &r.FarSubset, 1, 1000, defaultFarSubset, ""},
		{"routing.first_frame_ms", &r.FirstFrameMS, 10, hourInMS, defaultFirstFrameMS, "milliseconds"},
		{"routing.stall_ms", &r.StallMS, 10, hourInMS, defaultStallMS, "milliseconds"},
		{"routing.avoid_ms", &r.AvoidMS, 1, hourInMS, defaultAvoidMS, "milliseconds"},
	} {
		if *number.value == 0 {
			*number.value = number.def
		}
		report.Range(number.field, *number.value, number.low, number.high, number.unit)
	}
}

func checkName(report *check.Report, field, value string) {
	if value == "" {
		report.Add(field, value, "a name")
	}
}

func checkAddress(report *check.Report, field, value string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || number > 65535 || net.ParseIP(host) == nil {
		report.Add(field, value, "an IP address and port such as 10.0.0.1:8080")
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
