package fleet_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/fleet"
	"balsamwharf.example/balsamwharf/internal/standin"
)

// A daemon that stops finishes the requests of its own callers and of other
// daemons, and refuses new ones as unrun meanwhile.
func TestGracefulStop(t *testing.T) {
	f := start(t)
	leaving, other := f.Daemons[0], f.Daemons[1]
	held := standin.Holds{Arrived: make(chan string, 100), Release: make(chan struct{})}
	for _, d := range f.Daemons {
		d.Standin.Set(held)
	}
	answers := make(chan error, 100)
	const eachWay = 2
	for range eachWay {
		go func() { answers <- whole(leaving.Callers) }()
		go func() { answers <- whole(other.Callers) }()
	}
	for range 2 * eachWay {
		<-held.Arrived
	}
	stopped := make(chan error, 1)
	go func() { stopped <- leaving.Stop() }()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	must.NoError(t, fleet.WaitFor(ctx, func() bool {
		resp := send(t, "GET", leaving.Callers+"/deposits", nil, map[string]string{"Timeout": "1"})
		return resp.StatusCode == http.StatusServiceUnavailable
	}))
	resp := send(t, "GET", leaving.Callers+"/deposits", nil, auth())
	must.EqOp(t, "unrun", resp.Header.Get("Verdict"))
	must.True(t, resp.Close)
	must.NoError(t, fleet.WaitFor(ctx, func() bool { return other.App.TargetCount("andrade/payments") == 1 }))
	close(held.Release)
	for range 2 * eachWay {
		must.NoError(t, <-answers)
	}
	must.NoError(t, <-stopped)
	must.SliceEmpty(t, f.Daemons[0].Standin.Twice())
	must.EqOp(t, http.StatusOK, send(t, "GET", other.Callers+"/deposits", nil, auth()).StatusCode)
}

// whole sends a request and reports anything but the whole answer.
func whole(base string) error {
	req, err := http.NewRequest("POST", base+"/deposits", strings.NewReader("ten"))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && string(text) != "ten" {
		err = &wrongAnswer{text: resp.Status + " " + string(text)}
	}
	return err
}

// wrongAnswer is an answer that a test did not expect.
type wrongAnswer struct{ text string }

// Error implements error.
func (e *wrongAnswer) Error() string { return "wrong answer: " + e.text }
