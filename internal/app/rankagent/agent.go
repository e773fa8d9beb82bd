// Package rankagent implements the agent that runs beside each rank of a lock-step
// group on the users' platform. For the leader of map changes, it reads the state of
// the rank and forwards orders to it. Reading from the same VM costs nothing and
// yields the current state; other VMs get an older one.
//
// The program is quetzalbend-rank. It belongs to the changes that a gateway leads
// (see packages maplead and ranklink) and handles no requests of callers. It is
// not the agent of package internal/app/agent, which runs the requests for its
// target and changes expert maps by agreement with other agents.
package rankagent

import (
	"context"
	"net"
	"net/http"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/app/hosted"
	"quetzalbend/internal/callerconn"
	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/memory"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/ranklink"
	"quetzalbend/platform"
)

// Limits of connections of the gateways that lead map changes. Only the one that leads asks all
// the time.
const (
	headerBytes   = 16 << 10
	headerTimeout = 5 * time.Second
	idleTimeout   = 15 * time.Second
	descriptors   = 64
)

const headRetryAfter = time.Second

// Run runs the agent of this VM's rank until SIGTERM.
func Run(ctx context.Context) error {
	signal.Ignore(syscall.SIGHUP) // the agent's settings do not change while it runs
	return hosted.Run(ctx, serve)
}

func serve(ctx context.Context, node fleet.Node, log *eventlog.Log) error {
	memory.LimitHeap(node.MemoryBytes)
	address := net.JoinHostPort(node.IP, strconv.Itoa(node.Ports[0]))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: ranklink.Handler(platform.NewEngine(node.EngineAddress), log)}
	listener = connectionBounds(node, log).Guard(server, listener)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	log.State("started", eventlog.Fields{"node": node.Name, "engine": node.EngineAddress})
	select {
	case err := <-served:
		return errors.Wrapf(err, "serve %s", address)
	case <-ctx.Done():
		return server.Close()
	}
}

// connectionBounds returns the bounds on the connections of gateways.
func connectionBounds(node fleet.Node, log *eventlog.Log) *callerconn.Bounds {
	limits := callerconn.Limits{HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return &callerconn.Bounds{
		Limits:      func() callerconn.Limits { return limits },
		Descriptors: descriptors,
		Memory:      memory.NewBudget(node.MemoryBytes),
		RetryAfter:  headRetryAfter,
		Ended:       callerconn.Log(log, "agent"),
	}
}
