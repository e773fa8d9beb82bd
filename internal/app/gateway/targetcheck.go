package gateway

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/eventlog"
)

// targetChecks finds out whether a target that has not answered has crashed: a crashed
// one refuses connections, whereas one that only lost an answer accepts them. At most
// one check of a target runs at a time.
type targetChecks struct {
	dialer *net.Dialer
	log    *eventlog.Log

	mu      sync.Mutex
	running map[string]bool // by id of the target
}

func newTargetChecks(dialer *net.Dialer, log *eventlog.Log) *targetChecks {
	return &targetChecks{dialer: dialer, log: log, running: make(map[string]bool)}
}

// start checks a target in the background, unless it is being checked already.
func (c *targetChecks) start(target registry.Usable) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[target.ID] {
		return
	}
	c.running[target.ID] = true
	go c.check(target)
}

func (c *targetChecks) check(target registry.Usable) {
	started := time.Now()
	conn, err := c.dialer.Dial("tcp", target.Address)
	c.mu.Lock()
	delete(c.running, target.ID)
	c.mu.Unlock()
	fields := eventlog.Fields{"target": target.ID, "born": target.Born, "refused": refusedConnection(err), "ms": time.Since(started).Milliseconds()}
	if err == nil {
		err = conn.Close()
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.log.Decision("target checked", fields)
}

// refusedConnection reports whether nothing listens at the address that was dialled.
func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
