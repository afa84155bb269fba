package operators

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/metric"
)

// metrics serves the registry in the text format that scrapers read.
func (o *Operators) metrics(w http.ResponseWriter, _ *http.Request) {
	r := o.Common.Metrics
	metric.Broken.Gauge(r).Update(o.Common.Invariant.Broken())
	metric.Known.Gauge(r).Update(int64(len(o.directory.Reachable())))
	metric.Lost.Gauge(r).Update(int64(len(o.directory.Missing())))
	metric.Offset.Gauge(r).Update(int64(o.offset()))
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	r.Each(func(name string, m any) { writeMetric(w, "balsam_"+strings.ReplaceAll(name, ".", "_"), m) })
}

// quantiles are those that histograms and timers show.
var quantiles = []float64{0.5, 0.9, 0.99}

// writeMetric writes one metric. Its kinds are those of the metrics library.
func writeMetric(w http.ResponseWriter, name string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case metrics.Meter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), s.Sum(), s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), s.Sum(), s.Count())
	}
}

func writeSummary(w http.ResponseWriter, name string, values []float64, sum, count int64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, sum, name, count)
}

// level changes the level of the daemon's log.
func (o *Operators) level(r *http.Request, _ scope) (any, error) {
	var body struct {
		Level string `json:"level"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return nil, &refusal{http.StatusBadRequest, "the body must be {\"level\": \"debug\"} or the like"}
	}
	if o.Level == nil {
		return nil, &refusal{http.StatusConflict, "the log level of this daemon is fixed"}
	}
	level, err := zap.ParseAtomicLevel(body.Level)
	if err != nil {
		return nil, &refusal{http.StatusBadRequest, "level must be debug, info, warn or error"}
	}
	o.Level.SetLevel(level.Level())
	o.Common.Info(event.LevelChanged, zap.String("level", body.Level))
	return body, nil
}
