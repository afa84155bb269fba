package operators

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/exposition"
	"balsamwharf.example/balsamwharf/internal/metric"
)

// metrics serves GET /metrics: the metrics registry in the Prometheus text format. The
// gauges of the daemon's state are updated on each scrape.
func (o *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	r := o.Common.Metrics
	metric.InvariantFailures.Gauge(r).Update(o.Common.Invariant.Broken())
	metric.ReachableDaemons.Gauge(r).Update(int64(len(o.directory.Reachable())))
	metric.UnreachableDaemons.Gauge(r).Update(int64(len(o.directory.Unreachable())))
	metric.Offset.Gauge(r).Update(int64(o.offset()))
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	exposition.Write(w, r)
}

// setLevel serves PUT /v1/level: it changes the level of the daemon's log.
func (o *Server) setLevel(r *http.Request, _ scope) (any, error) {
	var body struct {
		Level string `json:"level"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return nil, &httpError{http.StatusBadRequest, "the body must be {\"level\": \"debug\"} or the like"}
	}
	if o.Level == nil {
		return nil, &httpError{http.StatusConflict, "the log level of this daemon is fixed"}
	}
	level, err := zap.ParseAtomicLevel(body.Level)
	if err != nil {
		return nil, &httpError{http.StatusBadRequest, "level must be debug, info, warn or error"}
	}
	o.Level.SetLevel(level.Level())
	o.Common.Info(event.LevelChanged, zap.String("level", body.Level))
	return body, nil
}
