package fleet

import "time"

// Target is one incarnation of a back end.
type Target struct {
	ID            string
	Service       string
	Address       string // IP and port
	Domain        string // failure domain
	Slots         int    // number of requests that run at once
	Draining      bool
	Born          int64         // start of this incarnation, in Unix milliseconds; 0: unknown
	ColdRemaining time.Duration // rest of the cold period
	Heartbeat     int64         // number of the record among those of this incarnation
}

// Outdated reports whether t is an earlier record of the same incarnation than known.
func (t Target) Outdated(known Target) bool {
	return t.Born != 0 && t.Born == known.Born && t.Heartbeat < known.Heartbeat
}

// SameExceptHeartbeat reports whether two records differ in nothing but the number of
// the heartbeat.
func (t Target) SameExceptHeartbeat(other Target) bool {
	t.Heartbeat = other.Heartbeat
	return t == other
}

// Node is the start-up configuration of a quetzalbend process.
type Node struct {
	Name           string
	IP             string
	Domain         string   // failure domain
	CallerAddress  string   // listen address for callers; empty: this node serves none
	HealthAddress  string   // listen address for the readiness checks of the platform
	ControlAddress string   // listen address for other nodes
	Ports          [2]int   // first and last port for links between nodes
	Seeds          []string // control addresses of nodes that are known from the start
	StoreAddress   string
	EngineAddress  string // engine on this VM; empty: none
	MemoryBytes    int64  // that a process on this VM may use; 0: unknown
	MaxDescriptors int    // of a process on this VM; 0: unknown
	Heartbeat      time.Duration
	GracePeriod    time.Duration // between SIGTERM and SIGKILL
	Stability      time.Duration // without a disturbance, after which a node counts as in touch with the store; 0: unknown
	Stall          time.Duration // for which a group of targets stalls when one of them is down
	Bounds         Bounds
}

// Bounds are the limits that all nodes together must respect.
type Bounds struct {
	RetryRatio  float64 // retries per request of a service
	RetrySlack  float64 // retries of a service allowed beyond the ratio
	RetryWindow time.Duration
	ColdFactor  float64 // factor on a service's cold rate
	ColdSlack   float64 // requests per second allowed beyond that
}
