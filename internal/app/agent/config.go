package agent

import (
	"encoding/json"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Bounds and defaults of Config.
const (
	maxConfigSize       = 1 << 20 // bytes
	defaultGraceMS      = 30_000
	maxGraceMS          = 3_600_000
	defaultLoadPeriodMS = 100
)

// TLSFiles names the files for mutual TLS between processes.
type TLSFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
}

// Config is the start-up file of an agent.
type Config struct {
	Name          string    `json:"name"`           // of the target
	VM            string    `json:"vm"`             // of the VM the agent runs on, default name
	FailureDomain string    `json:"failure_domain"` // of the VM
	Listen        string    `json:"listen"`         // IP address and port for entries and other agents
	HTTPListen    string    `json:"http_listen"`    // IP address and port for health and metrics
	Engine        string    `json:"engine"`         // base URL; this or service
	Service       string    `json:"service"`        // base URL
	ServiceName   string    `json:"service_name"`   // as in the settings
	Team          string    `json:"team"`           // that owns the service
	Platform      string    `json:"platform"`       // base URL of the platform
	TLS           *TLSFiles `json:"tls"`            // default none
	GraceMS       int64     `json:"grace_ms"`       // for running work on leaving, default 30000
}

// LoadConfig reads and checks the start-up file at path.
func LoadConfig(path string) (Config, error) {
	var config Config
	file, err := os.Open(path)
	if err != nil {
		return config, errors.Wrap(err, "open start-up file")
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return config, errors.Wrap(err, "stat start-up file")
	}
	if info.Size() > maxConfigSize {
		return config, errors.Errorf("start-up file %s has %d bytes; at most %d are read", path, info.Size(), maxConfigSize)
	}
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&config); err != nil {
		return config, errors.Wrapf(err, "decode start-up file %s", path)
	}
	config.setDefaults()
	return config, errors.Wrapf(config.Check(), "start-up file %s", path)
}

func (c *Config) setDefaults() {
	if c.VM == "" {
		c.VM = c.Name
	}
	if c.GraceMS == 0 {
		c.GraceMS = defaultGraceMS
	}
}

// Check returns an error that names the first field that is wrong.
func (c *Config) Check() error {
	switch {
	case c.Name == "":
		return errors.New("name: missing; give the name of the target in the settings")
	case c.FailureDomain == "":
		return errors.New("failure_domain: missing; give the name of the VM's failure domain")
	case (c.Engine == "") == (c.Service == ""):
		return errors.New("engine, service: give the base URL of exactly one of them")
	case c.Service != "" && c.ServiceName == "":
		return errors.New("service_name: missing; give the service's name in the settings")
	case c.Service != "" && c.Team == "":
		return errors.New("team: missing; give the team that owns the service")
	case c.Service != "" && c.Platform == "":
		return errors.New("platform: missing; a service's agent keeps claims in the platform's log")
	case c.GraceMS < 0 || c.GraceMS > maxGraceMS:
		return errors.Errorf("grace_ms: %d is out of range; give 0 to %d milliseconds", c.GraceMS, maxGraceMS)
	case c.TLS != nil && (c.TLS.Certificate == "" || c.TLS.Key == "" || c.TLS.CA == ""):
		return errors.New("tls: give all of certificate, key and ca")
	}
	return c.checkAddresses()
}

func (c *Config) checkAddresses() error {
	listeners := []struct{ field, value string }{{"listen", c.Listen}, {"http_listen", c.HTTPListen}}
	for _, l := range listeners {
		if _, _, err := net.SplitHostPort(l.value); err != nil {
			return errors.Errorf("%s: %q is no address; give IP:PORT", l.field, l.value)
		}
	}
	urls := []struct{ field, value string }{{"engine", c.Engine}, {"service", c.Service}, {"platform", c.Platform}}
	for _, u := range urls {
		if u.value == "" {
			continue
		}
		parsed, err := url.Parse(u.value)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return errors.Errorf("%s: %q is no base URL; give http://IP:PORT", u.field, u.value)
		}
	}
	return nil
}

func (c *Config) grace() time.Duration { return time.Duration(c.GraceMS) * time.Millisecond }
