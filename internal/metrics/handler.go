package metrics

import (
	"bytes"
	"fmt"
	"net/http"
	"runtime"
	runtimemetrics "runtime/metrics"
	"slices"
	"strings"
	"syscall"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// prefix is put before the name of each metric.
const prefix = "quetzalbend_"

// Quantiles that are exported: their label values and, in the same order, the
// percentiles to compute.
var (
	quantileLabels = []string{"0.5", "0.9", "0.95", "0.99", "0.999"}
	percentiles    = []float64{50, 90, 95, 99, 99.9}
)

// Handler serves all metrics in the Prometheus text format, version 0.0.4. It
// updates the gauges of the process for each request.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.updateProcessGauges()
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_, _ = w.Write(r.Text())
	})
}

// Text returns all metrics in the Prometheus text format, in name order.
func (r *Registry) Text() []byte {
	all := make(map[string]any)
	r.metrics.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.SortFunc(names, compareNames)

	var out bytes.Buffer
	var family string
	for _, name := range names {
		base, labels := splitName(name)
		if base != family {
			family = base
			fmt.Fprintf(&out, "# TYPE %s%s %s\n", prefix, base, typeName(all[name]))
		}
		r.write(&out, base, labels, all[name])
	}
	return out.Bytes()
}

// compareNames orders by metric name and then by labels, so that the series of
// one metric stay together.
func compareNames(a, b string) int {
	baseA, labelsA := splitName(a)
	baseB, labelsB := splitName(b)
	if order := strings.Compare(baseA, baseB); order != 0 {
		return order
	}
	return strings.Compare(labelsA, labelsB)
}

// splitName returns the metric's name and its labels without braces. Characters
// that the text format does not allow in a name become underscores.
func splitName(name string) (base, labels string) {
	base, labels, _ = strings.Cut(name, "{")
	return strings.Map(replaceInvalid, base), strings.TrimSuffix(labels, "}")
}

func replaceInvalid(c rune) rune {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '_':
		return c
	}
	return '_'
}

func typeName(metric any) string {
	switch metric.(type) {
	case gometrics.Counter:
		return "counter"
	case *distribution:
		return "summary"
	default:
		return "gauge"
	}
}

func (r *Registry) write(out *bytes.Buffer, base, labels string, metric any) {
	switch metric := metric.(type) {
	case gometrics.Counter:
		fmt.Fprintf(out, "%s%s%s %d\n", prefix, base, joinLabels(labels), metric.Count())
	case gometrics.Gauge:
		fmt.Fprintf(out, "%s%s%s %d\n", prefix, base, joinLabels(labels), metric.Value())
	case gometrics.GaugeFloat64:
		fmt.Fprintf(out, "%s%s%s %g\n", prefix, base, joinLabels(labels), metric.Value())
	case *distribution:
		values, count, sum := metric.quantiles(percentiles, r.now())
		for i, value := range values {
			quantile := fmt.Sprintf("quantile=%q", quantileLabels[i])
			fmt.Fprintf(out, "%s%s%s %g\n", prefix, base, joinLabels(labels, quantile), value.Seconds())
		}
		fmt.Fprintf(out, "%s%s_sum%s %g\n", prefix, base, joinLabels(labels), sum.Seconds())
		fmt.Fprintf(out, "%s%s_count%s %d\n", prefix, base, joinLabels(labels), count)
	}
}

// joinLabels returns the labels that are not empty, in braces, or "" if there are
// none.
func joinLabels(labels ...string) string {
	labels = slices.DeleteFunc(labels, func(label string) bool { return label == "" })
	if len(labels) == 0 {
		return ""
	}
	return "{" + strings.Join(labels, ",") + "}"
}

// updateProcessGauges sets the gauges of the process's memory, goroutines and CPU
// time.
func (r *Registry) updateProcessGauges() {
	samples := []runtimemetrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/objects:bytes"}}
	runtimemetrics.Read(samples)
	r.Gauge("process_memory_bytes").Update(int64(samples[0].Value.Uint64()))
	r.Gauge("process_heap_bytes").Update(int64(samples[1].Value.Uint64()))
	r.Gauge("process_goroutines").Update(int64(runtime.NumGoroutine()))
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return
	}
	spent := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	gometrics.GetOrRegisterGaugeFloat64("process_cpu_seconds", r.metrics).Update(spent.Seconds())
}
