package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"quetzalbend/internal/app/load/caller"
	"quetzalbend/internal/app/load/truth"
	"quetzalbend/internal/app/standin/engine"
	"quetzalbend/internal/app/standin/service"
)

// row holds the figures of one kind of request.
type row struct {
	sent        int
	served      int
	retried     int
	firstTokens []time.Duration // last attempt's time to the first token
	totals      []time.Duration // last attempt's total time
}

// report holds the figures of the demo.
type report struct {
	requests    int
	lost        int // requests without a correct answer, and confirmations that did not run
	doubled     int // confirmations that ran more than once
	rows        map[caller.Kind]*row
	lostResults []result
}

// wantText returns the text that an engine stand-in generates for a request.
func wantText(request caller.Request) string { return engine.Text(request.Content, request.Tokens) }

// readRuns adds up the runs of each key over all services.
func readRuns(ctx context.Context, services []string) (map[string]int, error) {
	runs := make(map[string]int)
	for _, base := range services {
		got, err := truth.Read[service.Truth](ctx, base)
		if err != nil {
			return nil, err
		}
		for key, count := range got.Runs {
			runs[key] += count
		}
	}
	return runs, nil
}

// evaluate compares the results with the number of runs of each key.
func evaluate(results []result, runs map[string]int) *report {
	r := &report{requests: len(results), rows: make(map[caller.Kind]*row)}
	for _, kind := range kinds {
		r.rows[kind] = &row{}
	}
	for i := range results {
		r.add(&results[i], runs)
	}
	return r
}

func (r *report) add(result *result, runs map[string]int) {
	row := r.rows[result.request.Kind]
	row.sent++
	if result.attempts > 1 {
		row.retried++
	}
	correct := result.correct()
	if result.request.Kind == caller.Confirm {
		count := runs[result.request.Key]
		correct = correct && count > 0
		if count > 1 {
			r.doubled++
		}
	}
	if !correct {
		r.lost++
		r.lostResults = append(r.lostResults, *result)
		return
	}
	row.served++
	row.firstTokens = append(row.firstTokens, result.outcome.FirstToken)
	row.totals = append(row.totals, result.outcome.Total)
}

func (r *report) print(w io.Writer) {
	const percent50, percent95 = 0.50, 0.95
	_, _ = fmt.Fprintf(w, "%-8s %6s %6s %8s %10s %10s %10s\n",
		"kind", "sent", "served", "retried", "first p50", "first p95", "whole p95")
	for _, kind := range kinds {
		row := r.rows[kind]
		_, _ = fmt.Fprintf(w, "%-8s %6d %6d %8d %10s %10s %10s\n", kind, row.sent, row.served, row.retried,
			percentile(row.firstTokens, percent50), percentile(row.firstTokens, percent95), percentile(row.totals, percent95))
	}
	for _, lost := range r.lostResults {
		_, _ = fmt.Fprintf(w, "lost: %s %s%s after %d attempts: %v\n", lost.request.Kind,
			lost.request.Path, lost.request.Key, lost.attempts, lost.outcome.Err)
	}
	verdict := "ok"
	if r.lost+r.doubled > 0 {
		verdict = "failed"
	}
	_, _ = fmt.Fprintf(w, "demo: %s, %d requests, %d lost, %d doubled\n", verdict, r.requests, r.lost, r.doubled)
}

func percentile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	index := int(fraction * float64(len(values)-1))
	return values[index].Round(time.Millisecond / 10)
}
