// Package metric holds the catalogue of the metrics that a daemon exports.
//
// # Usage
//
//	metric.Admitted.Counter(common.Metrics).Inc(1)
//	metric.Queued.Gauge(common.Metrics).Update(n)
//
// docs/METRICS.md is generated from this catalogue.
package metric

import (
	"fmt"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Metric is the name of one metric.
type Metric string

// entry describes one metric for the catalogue.
type entry struct {
	unit string
	text string
}

var catalogue = map[Metric]entry{}

// define adds a metric to the catalogue. It panics on a name that is defined twice, which
// every test run shows.
func define(name, unit, text string) Metric {
	m := Metric(name)
	if _, ok := catalogue[m]; ok {
		panic(fmt.Sprintf("metric %s is defined twice", name))
	}
	catalogue[m] = entry{unit: unit, text: text}
	return m
}

// Unit returns the unit of the metric's values.
func (m Metric) Unit() string { return catalogue[m].unit }

// Text returns the metric's description for operators.
func (m Metric) Text() string { return catalogue[m].text }

// With returns the metric for one value of each label, given as name and value in turn.
func (m Metric) With(labels ...string) Metric {
	var pairs []string
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return m + Metric("{"+strings.Join(pairs, ",")+"}")
}

// Counter returns the metric's counter in the registry and registers it on first use.
func (m Metric) Counter(r metrics.Registry) metrics.Counter {
	return metrics.GetOrRegisterCounter(string(m), r)
}

// Gauge returns the metric's gauge in the registry and registers it on first use.
func (m Metric) Gauge(r metrics.Registry) metrics.Gauge {
	return metrics.GetOrRegisterGauge(string(m), r)
}

// Follow registers the metric as a gauge whose value is computed on every read. It returns
// an error when the metric is registered already.
func (m Metric) Follow(r metrics.Registry, value func() int64) error {
	return r.Register(string(m), metrics.NewFunctionalGauge(value))
}

// sampleSize and sampleDecay make a histogram cover about the last five minutes of values.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// Histogram returns the metric's histogram in the registry and registers it on first use.
func (m Metric) Histogram(r metrics.Registry) metrics.Histogram {
	return r.GetOrRegister(string(m), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}).(metrics.Histogram)
}

// All returns every metric in order of name.
func All() []Metric {
	all := make([]Metric, 0, len(catalogue))
	for m := range catalogue {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
