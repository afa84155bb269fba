// Package exposition writes metrics in the Prometheus text exposition format.
//
// # Usage
//
//	exposition.Write(w, registry)
package exposition

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Write writes every metric of the registry, sorted by name and prefixed with balsam_.
// Dots in a name become underscores. A name may end with labels in braces. Errors of the
// writer are ignored.
func Write(w io.Writer, r metrics.Registry) {
	var names []string
	r.Each(func(name string, _ any) { names = append(names, name) })
	slices.Sort(names)
	prevBase := ""
	for _, name := range names {
		base, _, _ := strings.Cut(name, "{")
		writeMetric(w, "balsam_"+strings.ReplaceAll(name, ".", "_"), r.Get(name), base != prevBase)
		prevBase = base
	}
}

// quantiles are those that are written for histograms and timers.
var quantiles = []float64{0.5, 0.9, 0.99}

// writeMetric writes one metric, and before the first of its name a TYPE line. It maps the
// types of the metrics library to those of the format and skips others.
func writeMetric(w io.Writer, name string, m any, first bool) {
	switch m := m.(type) {
	case metrics.Counter:
		writeValue(w, name, "counter", m.Count(), first)
	case metrics.Gauge:
		writeValue(w, name, "gauge", m.Value(), first)
	case metrics.GaugeFloat64:
		writeValue(w, name, "gauge", m.Value(), first)
	case metrics.Meter:
		writeValue(w, name, "counter", m.Count(), first)
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), s.Sum(), s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), s.Sum(), s.Count())
	}
}

func writeValue[T int64 | float64](w io.Writer, name, kind string, value T, first bool) {
	if base, _, _ := strings.Cut(name, "{"); first {
		fmt.Fprintf(w, "# TYPE %s %s\n", base, kind)
	}
	fmt.Fprintf(w, "%s %v\n", name, value)
}

func writeSummary(w io.Writer, name string, values []float64, sum, count int64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, sum, name, count)
}
