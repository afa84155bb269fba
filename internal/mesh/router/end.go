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

// counts holds the router's metrics.
type counts struct {
	registry metrics.Registry
	ran      metrics.Counter
	maybe    metrics.Counter
	unrun    metrics.Counter
	limited  metrics.Counter
	duration metrics.Histogram

	mu     sync.Mutex
	routes map[ids.Route]bool
}

func newCounts(r metrics.Registry) *counts {
	return &counts{
		registry: r,
		ran:      metric.RequestsRan.Counter(r),
		maybe:    metric.RequestsUncertain.Counter(r),
		unrun:    metric.RequestsUnrun.Counter(r),
		limited:  metric.Limited.Counter(r),
		duration: metric.RequestTime.Histogram(r),
		routes:   map[ids.Route]bool{},
	}
}

const (
	// maxCountedRoutes bounds the memory for counters: about 150 bytes for each route and status.
	maxCountedRoutes = 500
	otherRoutes      = "other"
)

// addEnd counts a finished request by route, status and outcome. Routes beyond
// maxCountedRoutes are counted under otherRoutes.
func (c *counts) addEnd(route ids.Route, status int, outcome string) {
	name := otherRoutes
	c.mu.Lock()
	if c.routes[route] || len(c.routes) < maxCountedRoutes {
		c.routes[route] = true
		name = string(route)
	}
	c.mu.Unlock()
	metric.RequestsEnded.With("route", name, "status", strconv.Itoa(status), "outcome", outcome).Counter(c.registry).Inc(1)
}

// addAttempt counts one addAttempt by its result.
func (c *counts) addAttempt(result string) {
	metric.Attempts.With("result", result).Counter(c.registry).Inc(1)
}

// recordEnd counts a finished request and logs how it ended.
func (r *Router) recordEnd(x *exchange, answer request.Answer, err error) {
	now := r.Common.Clock.Now()
	took := now.Sub(x.startedAt)
	r.counts.duration.Update(int64(took / time.Millisecond))
	decisive := x.decisiveTarget()
	fields := []zap.Field{
		zap.String("id", string(x.inbound.ID)), zap.String("route", string(x.route.ID)),
		zap.String("service", string(x.service)), zap.String("account", string(x.account.ID)),
		zap.Uint64("version", uint64(x.version)), zap.Duration("age", r.config.Age(now)),
		zap.String("daemon", string(decisive.Daemon)), zap.String("target", string(decisive.Target)),
		zap.Int("sent", x.sent), zap.Duration("took", took), zap.Duration("timeout", x.timeout()),
	}
	var e *verdict.Error
	if !errors.As(err, &e) {
		r.counts.ran.Inc(1)
		r.counts.addEnd(x.route.ID, answer.Status, "answered")
		r.Common.Info(event.RequestServed, append(fields, zap.Int("status", answer.Status), zap.String("how", string(x.quota.Basis)))...)
		return
	}
	r.countRefusal(e)
	r.counts.addEnd(x.route.ID, e.Status, string(e.Verdict))
	fields = append(fields, zap.Int("status", e.Status), zap.String("verdict", string(e.Verdict)), zap.String("reason", e.Reason), zap.String("how", string(x.quota.Basis)))
	if e.Status == http.StatusTooManyRequests {
		r.Common.Info(event.QuotaExceeded, append(fields, zap.Float64("rate", float64(x.account.Rate)),
			zap.String("holder", string(x.quota.Leader)))...)
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
