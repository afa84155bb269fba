package ingress

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/entry"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// problem is the body of an error response, a problem details object of RFC 9457.
type problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail"`
	Verdict verdict.Verdict `json:"verdict"`
}

// writeProblem writes the error as a problem details response. The cause of the error is
// only logged. An error without a verdict counts as one of the verdict maybe.
func writeProblem(w http.ResponseWriter, err error) {
	var e *verdict.Error
	if !errors.As(err, &e) {
		e = verdict.Wrap(verdict.Maybe, http.StatusBadGateway, "the request failed", err)
	}
	body, marshalErr := json.Marshal(problem{
		Type:    "about:blank",
		Title:   http.StatusText(e.Status),
		Status:  e.Status,
		Detail:  e.Reason,
		Verdict: e.Verdict,
	})
	if marshalErr != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Verdict", string(e.Verdict))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(e.RetryAfter))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(body)
}

// statusOf returns the HTTP status of the response to the error.
func statusOf(err error) int {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return http.StatusBadGateway
	}
	return e.Status
}

// retryAfter returns the value of a Retry-After header: seconds, rounded up.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// logRefusal logs an error response. It doesn't log headers or the query, which may hold
// the caller's key.
func (i *Ingress) logRefusal(req entry.Request, err error) {
	if statusOf(err) == http.StatusUnauthorized {
		i.Common.Info(event.KeyRefused, zap.String("method", req.Method), zap.String("path", req.Path))
		return
	}
	e := event.RequestFailed
	if verdict.Of(err) == verdict.Unrun {
		e = event.RequestRefused
	}
	i.Common.Debug(e, zap.String("method", req.Method), zap.String("path", req.Path), zap.Error(err))
}
