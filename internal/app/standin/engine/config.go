package engine

import "time"

// Config is the start-up configuration. A number that is 0 gets its default.
type Config struct {
	Listen          string `json:"listen"`            // IP address and port
	FirstTokenMS    int    `json:"first_token_ms"`    // time to the first token, default 0
	BetweenTokensMS int    `json:"between_tokens_ms"` // time between tokens, default 0
	Slots           int    `json:"slots"`             // requests that run at once, default 64
	ColdLimit       int    `json:"cold_limit"`        // requests at once above which a cold engine crashes, default 2
	ColdRequests    int    `json:"cold_requests"`     // finished requests after which a cold engine is warm, default 8
	Warm            bool   `json:"warm"`              // starts warm
	LoadLagMS       int    `json:"load_lag_ms"`       // age of the load report, default 0
	RestartMS       int    `json:"restart_ms"`        // time for which it refuses requests after a crash, default 1000
	ChecksFencing   bool   `json:"checks_fencing"`    // refuses orders with an old fencing token
}

// Defaults of Config.
const (
	defaultSlots        = 64
	defaultColdLimit    = 2
	defaultColdRequests = 8
	defaultRestartMS    = 1000
	defaultMaxTokens    = 16
)

func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.ColdLimit == 0 {
		c.ColdLimit = defaultColdLimit
	}
	if c.ColdRequests == 0 {
		c.ColdRequests = defaultColdRequests
	}
	if c.RestartMS == 0 {
		c.RestartMS = defaultRestartMS
	}
	return c
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
