package overhead

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const cpuMetric = "quetzalbend_process_cpu_seconds "

// processCost is the processor time that a process spends on requests.
type processCost struct {
	url      string // of the operators' listener; empty: not measured
	before   float64
	spent    float64 // seconds
	requests int
}

func (p *processCost) perRequestUS() float64 {
	if p.requests == 0 {
		return 0
	}
	return p.spent / float64(p.requests) * 1e6
}

// cost measures entry and agent while requests go through them.
type cost struct {
	entry, agent processCost
	err          error
}

func newCost(c *Command) *cost {
	return &cost{entry: processCost{url: c.EntryOperators}, agent: processCost{url: c.AgentOperators}}
}

func (c *cost) start(ctx context.Context) {
	c.each(ctx, func(p *processCost, now float64) { p.before = now })
}

func (c *cost) stop(ctx context.Context, requests int) {
	c.each(ctx, func(p *processCost, now float64) {
		p.spent += now - p.before
		p.requests += requests
	})
}

func (c *cost) each(ctx context.Context, take func(p *processCost, now float64)) {
	for _, process := range []*processCost{&c.entry, &c.agent} {
		if process.url == "" {
			continue
		}
		now, err := cpuSeconds(ctx, process.url)
		if err != nil {
			c.err = err
			continue
		}
		take(process, now)
	}
}

// cpuSeconds reads a process's processor time from its metrics.
func cpuSeconds(ctx context.Context, url string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/metrics", nil)
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrapf(err, "read metrics of %s", url)
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if value, ok := strings.CutPrefix(scanner.Text(), cpuMetric); ok {
			parsed, err := strconv.ParseFloat(value, 64)
			return parsed, errors.Wrapf(err, "read metrics of %s", url)
		}
	}
	return 0, errors.Errorf("read metrics of %s: no %s", url, cpuMetric)
}
