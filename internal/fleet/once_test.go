package fleet_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/fleet"
)

// post sends a deposit through daemon i and waits out refusals that ask for it.
func post(t *testing.T, url, idempotencyKey, body string) *http.Response {
	t.Helper()
	header := auth()
	header["Idempotency-Key"] = idempotencyKey
	return send(t, "POST", url+"/deposits", strings.NewReader(body), header)
}

// A repeat of a keyed request gets the first answer through either daemon, and the
// key with another body is refused.
func TestIdempotencyKey(t *testing.T) {
	f := share(t)
	first := f.Daemons[0].Callers
	var resp *http.Response
	must.NoError(t, waitFor(t, func() bool {
		resp = post(t, first, "deposit-1", "ten")
		return resp.StatusCode != http.StatusServiceUnavailable
	}))
	must.EqOp(t, http.StatusOK, resp.StatusCode)
	target := resp.Header.Get("Target")
	ran := f.Daemons[0].Standin.Total() + f.Daemons[1].Standin.Total()
	must.NoError(t, waitFor(t, func() bool {
		return post(t, first, "deposit-1", "ten").StatusCode == http.StatusOK
	}))
	for _, d := range f.Daemons {
		resp := post(t, d.Callers, "deposit-1", "ten")
		must.EqOp(t, http.StatusOK, resp.StatusCode)
		must.EqOp(t, target, resp.Header.Get("Target"))
		must.EqOp(t, http.StatusUnprocessableEntity, post(t, d.Callers, "deposit-1", "twenty").StatusCode)
	}
	must.EqOp(t, ran, f.Daemons[0].Standin.Total()+f.Daemons[1].Standin.Total())
}

// The daemons together admit no more than the account's burst and rate.
func TestLimitOverAllDaemons(t *testing.T) {
	const rate, burst = 20, 20
	f := start(t)
	must.NoError(t, f.Edit("teams/andrade/accounts/school", map[string]string{"rate": "20", "burst": "20"}))
	header := auth()
	header["Timeout"] = "5"
	get := func(i int) bool {
		return send(t, "GET", f.Daemons[i%2].Callers+"/deposits", nil, header).StatusCode == http.StatusOK
	}
	must.NoError(t, waitFor(t, func() bool { return get(0) }))
	admitted := 0
	began := time.Now()
	for i := range 300 {
		if get(i) {
			admitted++
		}
	}
	must.LessEq(t, burst+rate*time.Since(began).Seconds(), float64(admitted))
	must.Positive(t, admitted)
}

func waitFor(t *testing.T, holds func() bool) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	return fleet.WaitFor(ctx, holds)
}
