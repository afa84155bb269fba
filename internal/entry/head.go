package entry

import (
	"net/http"
	"time"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// headOf builds what is sent on from what arrived and what the settings say.
func headOf(a Request, r rules, rest bearer.Request) call.Head {
	return call.Head{
		Method:     a.Method,
		Target:     rest.Target,
		Host:       a.Host,
		Header:     rest.Header,
		Length:     a.Length,
		Service:    r.match.Service(),
		Route:      r.match.ID,
		Account:    r.account,
		Weight:     max(r.limits.Weight, 1),
		Patience:   r.match.Route.Patience,
		Idempotent: idempotent(r.match.Route.Replay, a.Method),
		Remaining:  timeFor(a, r),
	}
}

// timeFor returns the caller's deadline, else the route's, else the service's. A
// caller can't ask for more time than the route gives.
func timeFor(a Request, r rules) time.Duration {
	limit := r.service.Deadline
	if r.match.Route.Deadline > 0 {
		limit = r.match.Route.Deadline
	}
	if a.Timeout > 0 {
		return min(a.Timeout, limit)
	}
	return limit
}

func idempotent(replay settings.Replay, method string) bool {
	switch replay {
	case settings.Always:
		return true
	case settings.Never:
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
