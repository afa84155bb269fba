// Package exposition writes metrics in the text format that scrapers read.
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

// Write writes every metric of the registry. A name may end with labels in braces.
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

// quantiles are those that histograms and timers show.
var quantiles = []float64{0.5, 0.9, 0.99}

// writeMetric writes one metric, the first of its name with a line that tells its kind.
// The kinds are those of the metrics library.
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
