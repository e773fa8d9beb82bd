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
	url      string  // base URL of the operators listener; empty: not measured
	before   float64 // seconds of processor time at start
	spent    float64 // seconds
	requests int
}

func (p *processCost) microsecondsPerRequest() float64 {
	if p.requests == 0 {
		return 0
	}
	return p.spent / float64(p.requests) * 1e6
}

// costMeter measures the processor time of entry and agent while requests go
// through them.
type costMeter struct {
	entry, agent processCost
	err          error
}

func newCostMeter(c *Command) *costMeter {
	return &costMeter{entry: processCost{url: c.EntryOperators}, agent: processCost{url: c.AgentOperators}}
}

func (c *costMeter) start(ctx context.Context) {
	c.forEachProcess(ctx, func(p *processCost, now float64) { p.before = now })
}

func (c *costMeter) stop(ctx context.Context, requests int) {
	c.forEachProcess(ctx, func(p *processCost, now float64) {
		p.spent += now - p.before
		p.requests += requests
	})
}

// forEachProcess calls update with each measured process and its processor time
// so far in seconds. It keeps the last error.
func (c *costMeter) forEachProcess(ctx context.Context, update func(p *processCost, now float64)) {
	for _, process := range []*processCost{&c.entry, &c.agent} {
		if process.url == "" {
			continue
		}
		now, err := cpuSeconds(ctx, process.url)
		if err != nil {
			c.err = err
			continue
		}
		update(process, now)
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
