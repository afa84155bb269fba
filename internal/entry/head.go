package entry

import (
	"net/http"
	"time"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// headOf returns the head that is forwarded. stripped is the request without its key.
func headOf(req Request, r rules, stripped bearer.Request) call.Head {
	return call.Head{
		Method:     req.Method,
		Target:     stripped.Target,
		Host:       req.Host,
		Header:     stripped.Header,
		Length:     req.Length,
		Service:    r.match.Service(),
		Route:      r.match.ID,
		Account:    r.account,
		Weight:     max(r.limits.Weight, 1),
		Patience:   r.match.Route.Patience,
		Idempotent: idempotent(r.match.Route.Replay, req.Method),
		Remaining:  timeFor(req, r),
	}
}

// timeFor returns the time limit of the request: the caller's, else the route's, else the
// service's. A caller can't exceed the limit in the settings.
func timeFor(req Request, r rules) time.Duration {
	limit := r.service.Deadline
	if r.match.Route.Deadline > 0 {
		limit = r.match.Route.Deadline
	}
	if req.Timeout > 0 {
		return min(req.Timeout, limit)
	}
	return limit
}

// idempotent reports whether the request may be executed more than once: as the route's
// replay setting says, else for the methods that HTTP defines as idempotent.
func idempotent(replay settings.Replay, method string) bool {
	switch replay {
	case settings.ReplayAlways:
		return true
	case settings.ReplayNever:
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
