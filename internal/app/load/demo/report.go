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

// row is the report on one kind of request.
type row struct {
	sent    int
	served  int
	retried int
	firsts  []time.Duration
	totals  []time.Duration
}

// report is the outcome of the demo.
type report struct {
	requests int
	lost     int
	doubled  int
	rows     map[caller.Kind]*row
	lostIDs  []result
}

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

func judge(results []result, runs map[string]int) *report {
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
	sound := result.sound()
	if result.request.Kind == caller.Confirm {
		count := runs[result.request.Key]
		sound = sound && count > 0
		if count > 1 {
			r.doubled++
		}
	}
	if !sound {
		r.lost++
		r.lostIDs = append(r.lostIDs, *result)
		return
	}
	row.served++
	row.firsts = append(row.firsts, result.outcome.FirstToken)
	row.totals = append(row.totals, result.outcome.Total)
}

func (r *report) print(w io.Writer) {
	const percent50, percent95 = 0.50, 0.95
	_, _ = fmt.Fprintf(w, "%-8s %6s %6s %8s %10s %10s %10s\n",
		"kind", "sent", "served", "retried", "first p50", "first p95", "whole p95")
	for _, kind := range kinds {
		row := r.rows[kind]
		_, _ = fmt.Fprintf(w, "%-8s %6d %6d %8d %10s %10s %10s\n", kind, row.sent, row.served, row.retried,
			percentile(row.firsts, percent50), percentile(row.firsts, percent95), percentile(row.totals, percent95))
	}
	for _, lost := range r.lostIDs {
		_, _ = fmt.Fprintf(w, "lost: %s %s%s after %d attempts: %v\n", lost.request.Kind,
			lost.request.Path, lost.request.Key, lost.attempts, lost.outcome.Err)
	}
	verdict := "ok"
	if r.lost+r.doubled > 0 {
		verdict = "failed"
	}
	_, _ = fmt.Fprintf(w, "demo: %s, %d requests, %d lost, %d doubled\n", verdict, r.requests, r.lost, r.doubled)
}

func percentile(values []time.Duration, part float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	index := int(part * float64(len(values)-1))
	return values[index].Round(time.Millisecond / 10)
}
