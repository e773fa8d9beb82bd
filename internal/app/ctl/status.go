package ctl

import (
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"quetzalbend/internal/adapter/adminhttp"
)

// Timing of the wait for an offset to be in force.
const (
	defaultWaitTimeout = 30 * time.Second
	pollInterval       = 100 * time.Millisecond
)

type waitOptions struct {
	TimeoutMS int64 `long:"timeout-ms" value-name:"N" description:"how long to wait in milliseconds, default 30000"`
}

func (o waitOptions) timeout() time.Duration {
	if o.TimeoutMS <= 0 {
		return defaultWaitTimeout
	}
	return time.Duration(o.TimeoutMS) * time.Millisecond
}

type waitCommand struct {
	waitOptions

	Args struct {
		Offset *int64 `positional-arg-name:"OFFSET" description:"default the newest of the asked entry"`
	} `positional-args:"yes"`
}

func (c *waitCommand) run(t *tool) error {
	if c.Args.Offset != nil {
		return t.wait(*c.Args.Offset, c.timeout())
	}
	var status adminhttp.EntryStatus
	if err := t.client.get(t.ctx, "status", nil, &status); err != nil {
		return err
	}
	return t.wait(status.Offset, c.timeout())
}

// wait polls until an offset is in force at all nodes. After timeout it prints
// the nodes that have not reached the offset and returns an error.
func (t *tool) wait(offset int64, timeout time.Duration) error {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	query := url.Values{"offset": {strconv.FormatInt(offset, 10)}}
	for {
		var answer adminhttp.InForce
		if err := t.client.get(t.ctx, "in-force", query, &answer); err != nil {
			return err
		}
		if answer.InForce {
			return t.print(answer, func(table io.Writer) {
				writeRow(table, fmt.Sprintf("offset %d in force at %d nodes", offset, answer.Nodes))
			})
		}
		select {
		case <-ticker.C:
		case <-deadline.C:
			return t.notInForce(answer)
		case <-t.ctx.Done():
			return t.notInForce(answer)
		}
	}
}

// notInForce prints the nodes that have not reached an offset and returns the
// error with its exit code.
func (t *tool) notInForce(answer adminhttp.InForce) error {
	err := t.print(answer, func(table io.Writer) { printNodes(table, answer.Missing) })
	if err != nil {
		return err
	}
	return &exitError{
		code: ExitNotInForce,
		text: fmt.Sprintf("offset %d is not in force at %d or more of %d nodes", answer.Offset, len(answer.Missing), answer.Nodes),
	}
}

func printNodes(table io.Writer, nodes []adminhttp.Node) {
	writeRow(table, "NODE", "KIND", "OFFSET", "HEARD", "AGENTS", "LOWEST OFFSET", "BEHIND")
	for _, node := range nodes {
		offset := strconv.FormatInt(node.Offset, 10)
		heard := (time.Duration(node.AgeMS) * time.Millisecond).String() + " ago"
		if node.Offset < 0 && node.Silent {
			offset, heard = "-", "never"
		}
		agents, lowest := "-", "-"
		if node.Agents > 0 {
			agents, lowest = strconv.Itoa(node.Agents), strconv.FormatInt(node.AgentsOffset, 10)
		}
		writeRow(table, node.Name, node.Kind, offset, heard, agents, lowest, strings.Join(node.AgentsBehind, ","))
	}
}

type statusCommand struct{}

// statusReport is the JSON output of the status command.
type statusReport struct {
	Entry   adminhttp.EntryStatus `json:"entry"`
	Nodes   []adminhttp.Node      `json:"nodes"`
	Targets []adminhttp.Target    `json:"targets"`
}

func (c *statusCommand) run(t *tool) error {
	var report statusReport
	var nodes adminhttp.Nodes
	var targets adminhttp.Targets
	if err := t.client.get(t.ctx, "status", nil, &report.Entry); err != nil {
		return err
	}
	if err := t.client.get(t.ctx, "nodes", nil, &nodes); err != nil {
		return err
	}
	if err := t.client.get(t.ctx, "targets", nil, &targets); err != nil {
		return err
	}
	report.Nodes, report.Targets = nodes.Nodes, targets.Targets
	return t.print(report, func(table io.Writer) { printStatus(table, report) })
}

func printStatus(table io.Writer, report statusReport) {
	platform := "answers"
	if !report.Entry.Platform {
		platform = "AWAY"
	}
	writeRow(table, "entry "+report.Entry.Node, fmt.Sprintf("offset %d", report.Entry.Offset),
		fmt.Sprintf("%d settings", report.Entry.Settings), "platform "+platform)
	for _, path := range report.Entry.Unreadable {
		writeRow(table, "cannot be read by this version: "+path)
	}
	writeRow(table)
	printNodes(table, report.Nodes)
	writeRow(table)
	writeRow(table, "TARGET", "DOMAIN", "SERVES", "STATE", "RUNNING", "LIMIT", "QUEUED", "FIRST TOKEN", "BETWEEN TOKENS")
	for _, target := range report.Targets {
		printTarget(table, target)
	}
}

func printTarget(table io.Writer, target adminhttp.Target) {
	serves := strings.Join(target.Target.Serves, ",")
	load := target.Load
	if load == nil {
		writeRow(table, target.Name, target.Target.FailureDomain, serves, targetState(target), "-", "-", "-", "-", "-")
		return
	}
	writeRow(table, target.Name, target.Target.FailureDomain, serves, targetState(target), load.Running, load.Limit,
		load.Queued, fmt.Sprintf("%.1f ms", load.FirstTokenMS), fmt.Sprintf("%.1f ms", load.BetweenTokensMS))
}

// targetState returns the STATE cell of a target.
func targetState(target adminhttp.Target) string {
	load := target.Load
	switch {
	case !target.Serving:
		return "out (" + target.Reason + ")"
	case load == nil:
		return "in, unknown"
	case load.Leaving:
		return "leaving"
	case !load.Reachable:
		return "unreachable"
	case load.Cold:
		return "in, cold"
	}
	return "in"
}

type explainCommand struct {
	Workload string `long:"workload" value-name:"NAME" description:"workload that the request names"`
	Service  string `long:"service" value-name:"NAME" description:"service that the request calls"`
	Method   string `long:"method" value-name:"METHOD" default:"GET" description:"method of the call"`
	Path     string `long:"path" value-name:"PATH" default:"/" description:"path of the call"`
	Args     struct {
		Team string `positional-arg-name:"TEAM"`
	} `positional-args:"yes" required:"yes"`
}

func (c *explainCommand) run(t *tool) error {
	query := url.Values{"team": {c.Args.Team}}
	if c.Service != "" {
		query.Set("service", c.Service)
		query.Set("method", c.Method)
		query.Set("path", c.Path)
	} else {
		query.Set("workload", c.Workload)
	}
	var explanation adminhttp.Explanation
	if err := t.client.get(t.ctx, "explain", query, &explanation); err != nil {
		return err
	}
	return t.print(explanation, func(table io.Writer) { printExplanation(table, explanation) })
}

func printExplanation(table io.Writer, e adminhttp.Explanation) {
	writeRow(table, e.Kind+" "+e.Team+"/"+e.Name, "class "+e.Class, fmt.Sprintf("timeout %d ms", e.TimeoutMS),
		fmt.Sprintf("may be repeated: %t", e.Idempotent))
	if e.Model != "" {
		writeRow(table, "model "+e.Model, "version "+orAny(e.Version), "adapter "+orAny(e.Adapter))
	}
	if e.Refused != "" {
		writeRow(table, "refused: "+e.Refused)
	}
	writeRow(table)
	writeRow(table, "TARGET", "DOMAIN", "TIER", "UTILIZATION", "ELIGIBLE", "REASON")
	for _, candidate := range e.Candidates {
		writeRow(table, candidate.Target, candidate.FailureDomain, candidate.Tier,
			fmt.Sprintf("%.2f", candidate.Utilization), candidate.Eligible, candidate.Reason)
	}
}

func orAny(name string) string {
	if name == "" {
		return "(any)"
	}
	return name
}
