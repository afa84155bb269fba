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

// problem is the body of a refusal, as RFC 9457 describes it.
type problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail"`
	Verdict verdict.Verdict `json:"verdict"`
}

// refuse writes an error as a problem document. The cause stays in the log.
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

func statusOf(err error) int {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return http.StatusBadGateway
	}
	return e.Status
}

// retryAfter returns whole seconds, rounded up.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// note logs a refusal without anything that the caller sent as a secret.
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
