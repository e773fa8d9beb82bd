package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/answers"
	"quetzalbend/internal/core/poison"
	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/pause"
	"quetzalbend/internal/supervise"
	"quetzalbend/platform"
)

const (
	checkInterval = 100 * time.Millisecond // between looks for targets that give no sign of life
	checkTimeout  = 500 * time.Millisecond // of the answer to a check
)

// checker asks targets whether they are there, each time on a connection of its own.
type checker struct {
	dialer    *net.Dialer
	transport *answers.Transport
}

func newChecker(dialer *net.Dialer) checker {
	return checker{dialer, answers.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxAnswerHeadBytes,
	})}
}

// check checks a target. Without a path, one that accepts a connection counts as alive.
func (c checker) check(ctx context.Context, target registry.Usable, path string) (poison.CheckResult, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if path == "" {
		conn, err := c.dialer.DialContext(ctx, "tcp", target.Address)
		if err != nil {
			return checkResult(ctx, err), err
		}
		return poison.Alive, conn.Close()
	}
	same, err := platform.CheckTarget(ctx, c.transport, target.Target, path)
	switch {
	case err != nil:
		return checkResult(ctx, err), err
	case !same:
		return poison.Ended, nil
	}
	return poison.Alive, nil
}

// checkResult returns what the error of a check tells.
func checkResult(ctx context.Context, err error) poison.CheckResult {
	var timeout net.Error
	switch {
	case refusedConnection(err):
		return poison.Ended
	case ctx.Err() != nil, errors.As(err, &timeout) && timeout.Timeout():
		return poison.Silent
	}
	return poison.Broken
}

// refusedConnection reports whether nothing listens at the address that was dialled.
func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// checkRepeatedly checks the targets that give no sign of life, until ctx ends.
func (g *poisonGuard) checkRepeatedly(ctx context.Context) error {
	for pause.For(ctx, checkInterval) {
		g.checkDue(time.Now())
	}
	return nil
}

// checkDue begins the checks that are due.
func (g *poisonGuard) checkDue(now time.Time) {
	for _, due := range g.watch.Due(now) {
		go supervise.Task(g.log, "check of a target", func() { g.check(due) })
	}
}

// check checks a target and records the result.
func (g *poisonGuard) check(due poison.Check) {
	began := time.Now()
	result, err := poison.Ended, error(nil)
	if !due.Silent || g.isListed(due.Target) {
		result, err = g.checker.check(context.Background(), due.Target, g.checkPath(due.Target.Service))
	}
	if result == poison.Silent && g.gateway.suspension.recent(time.Now()) {
		result = poison.Broken // the answer may have come while this process did not run
	}
	now := time.Now()
	fields := eventlog.Fields{"target": due.Target.ID, "born": due.Target.Born, "result": result.String(), "ms": now.Sub(began).Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
	}
	g.log.Decision("target checked", fields)
	if found, ok := g.watch.Checked(due, result, began, now); ok {
		g.record(found, due.Target, now)
	}
}

func (g *poisonGuard) checkPath(service string) string {
	if s := g.gateway.state.View().Settings.Services[service]; s != nil {
		return s.CheckPath
	}
	return ""
}

// isListed reports whether the registry has a record of an incarnation of a target. That of a
// silent one expires.
func (g *poisonGuard) isListed(target registry.Usable) bool {
	for _, listed := range g.gateway.state.View().All {
		if listed.ID == target.ID {
			return listed.Born == target.Born
		}
	}
	return false
}
