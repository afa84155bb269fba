package router

import (
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// counts are the router's metrics.
type counts struct {
	registry metrics.Registry
	ran      metrics.Counter
	maybe    metrics.Counter
	unrun    metrics.Counter
	limited  metrics.Counter
	took     metrics.Histogram

	mu     sync.Mutex
	routes map[ids.Route]bool
}

func newCounts(r metrics.Registry) *counts {
	return &counts{
		registry: r,
		ran:      metric.RequestsRan.Counter(r),
		maybe:    metric.RequestsMaybe.Counter(r),
		unrun:    metric.RequestsUnrun.Counter(r),
		limited:  metric.Limited.Counter(r),
		took:     metric.RequestTime.Histogram(r),
		routes:   map[ids.Route]bool{},
	}
}

const (
	// countedRoutes bounds the memory for counters: about 150 bytes for each route and status.
	countedRoutes = 500
	otherRoutes   = "other"
)

// end counts a request by its route.
func (c *counts) end(route ids.Route, status int, outcome string) {
	name := otherRoutes
	c.mu.Lock()
	if c.routes[route] || len(c.routes) < countedRoutes {
		c.routes[route] = true
		name = string(route)
	}
	c.mu.Unlock()
	metric.Ended.With("route", name, "status", strconv.Itoa(status), "outcome", outcome).Counter(c.registry).Inc(1)
}

// attempt counts one attempt by its result.
func (c *counts) attempt(result string) {
	metric.Attempts.With("result", result).Counter(c.registry).Inc(1)
}

// note logs and counts the end of a request.
func (r *Router) note(j *journey, answer request.Answer, err error) {
	now := r.Common.Clock.Now()
	took := now.Sub(j.began)
	r.counts.took.Update(int64(took / time.Millisecond))
	decisive := j.decisive()
	fields := []zap.Field{
		zap.String("id", string(j.arrival.ID)), zap.String("route", string(j.route.ID)),
		zap.String("service", string(j.service)), zap.String("account", string(j.account.ID)),
		zap.Uint64("version", uint64(j.version)), zap.Duration("age", r.config.Age(now)),
		zap.String("daemon", string(decisive.Daemon)), zap.String("target", string(decisive.Target)),
		zap.Int("sent", j.sent), zap.Duration("took", took), zap.Duration("timeout", j.timeout()),
	}
	var e *verdict.Error
	if !errors.As(err, &e) {
		r.counts.ran.Inc(1)
		r.counts.end(j.route.ID, answer.Status, "answered")
		r.Common.Info(event.RequestServed, append(fields, zap.Int("status", answer.Status))...)
		return
	}
	r.countRefusal(e)
	r.counts.end(j.route.ID, e.Status, string(e.Verdict))
	fields = append(fields, zap.Int("status", e.Status), zap.String("verdict", string(e.Verdict)), zap.String("reason", e.Reason))
	if e.Status == http.StatusTooManyRequests {
		r.Common.Info(event.QuotaShort, append(fields, zap.Float64("rate", float64(j.account.Rate)),
			zap.String("how", string(j.quota.Basis)), zap.String("holder", string(j.quota.Leader)))...)
		return
	}
	r.Common.Info(event.RequestEnded, fields...)
}

func (r *Router) countRefusal(e *verdict.Error) {
	switch {
	case e.Status == http.StatusTooManyRequests:
		r.counts.limited.Inc(1)
	case e.Verdict == verdict.Unrun:
		r.counts.unrun.Inc(1)
	default:
		r.counts.maybe.Inc(1)
	}
}
