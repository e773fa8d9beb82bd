package fleet

import "time"

// Target is one incarnation of a back end.
type Target struct {
	ID            string
	Service       string
	Address       string // IP and port
	Domain        string // failure domain
	Slots         int
	Draining      bool
	Born          int64 // start of this incarnation, in Unix milliseconds; 0: unknown
	ColdRemaining time.Duration
}

// Node holds what a process of quetzalbend learns at its start.
type Node struct {
	Name           string
	IP             string
	Domain         string
	CallerAddress  string // where callers are served; empty: not here
	HealthAddress  string // where the platform asks for readiness
	ControlAddress string // where other nodes are served
	Ports          [2]int // first and last port for links between nodes
	Seeds          []string
	StoreAddress   string
	EngineAddress  string // the engine on this VM; empty: none
	Heartbeat      time.Duration
	GracePeriod    time.Duration // between SIGTERM and SIGKILL
	Bounds         Bounds
}

// Bounds are the limits that all nodes keep together.
type Bounds struct {
	RetryRatio  float64 // retries for each request of a service
	RetrySlack  float64 // retries beyond the ratio
	RetryWindow time.Duration
	ColdFactor  float64 // of a service's cold rate
	ColdSlack   float64 // requests a second beyond it
}
