package fleet_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/fleet"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/standin"
)

const (
	quotes    ids.Service = "andrade/quotes"
	callers               = 12
	detection             = 2 * time.Minute
)

// quoteFleet runs six targets with callers that keep them busy until the test ends.
func quoteFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	f, err := fleet.New(fleet.Plan{
		Centres:  []ids.Centre{"north", "south", "west"},
		Services: []fleet.Service{{ID: quotes, Targets: 6, Slots: 3, Work: 10 * time.Millisecond}},
	})
	must.NoError(t, err)
	t.Cleanup(f.Close)
	must.NoError(t, f.Edit("teams/root", map[string]string{"credential": string(bearer.HashOf(fleet.RootCredential))}))
	must.NoError(t, f.Edit("teams/andrade", map[string]string{"credential": string(bearer.HashOf(fleet.CredentialOf("andrade")))}))
	must.NoError(t, f.Edit("teams/andrade/services/quotes", map[string]string{"deadline": "2s"}))
	must.NoError(t, f.Edit("teams/andrade/routes/quotes", map[string]string{"prefix": "/quotes", "service": "quotes", "open": "true"}))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { keepAsking(ctx, f.Daemons[i%len(f.Daemons)].Callers+"/quotes/1") })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return f
}

func keepAsking(ctx context.Context, url string) {
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// seen returns how many targets each daemon takes to be in use, if all agree.
func seen(f *fleet.Fleet, want int) bool {
	for _, d := range f.Daemons {
		if d.App.TargetCount(quotes) != want {
			return false
		}
	}
	return true
}

// A failing target is taken out by its own gatekeeper, the others learn of it, and it
// comes back once it works again.
func TestEjectAndReadmit(t *testing.T) {
	cases := []struct {
		name  string
		fault standin.Fault
	}{
		{name: "errs", fault: standin.Errs{Share: 0.3}},
		{name: "slow", fault: standin.Slow{Factor: 5}},
		{name: "hangs", fault: standin.Hangs{}},
		{name: "cuts", fault: standin.Cuts{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := quoteFleet(t)
			ctx, cancel := context.WithTimeout(t.Context(), detection)
			defer cancel()
			sick := f.Daemons[4]
			must.NoError(t, fleet.WaitFor(ctx, func() bool { return sick.Standin.Total() > 200 }))
			sick.Standin.Set(c.fault)
			must.NoError(t, fleet.WaitFor(ctx, func() bool { return seen(f, 5) }))
			sick.Standin.Set(standin.None{})
			must.NoError(t, fleet.WaitFor(ctx, func() bool { return seen(f, 6) }))
		})
	}
}
