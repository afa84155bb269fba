package fleet_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/fleet"
)

const (
	// benchSlots is more than the requests that run at once, so that none waits.
	benchSlots = 256
	longest    = 10 * time.Second
	digits     = 3
)

// BenchmarkPath compares the time of a request to a backend server directly, by its
// own daemon, and by two daemons. Read the figures as ratios within one run.
func BenchmarkPath(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	b.Cleanup(server.Close)
	f, err := build()
	must.NoError(b, err)
	b.Cleanup(f.Close)
	must.NoError(b, f.Edit("teams/andrade/routes/open", map[string]string{"prefix": "/open", "service": "payments", "open": "true"}))
	for _, d := range f.Daemons {
		must.NoError(b, d.Leave())
	}
	must.NoError(b, f.Daemons[0].AnnounceAt(server.Listener.Addr().String(), benchSlots))
	for _, d := range f.Daemons {
		must.NoError(b, fleet.WaitFor(b.Context(), func() bool { return d.App.TargetCount("andrade/payments") == 1 }))
	}
	b.Run("direct", func(b *testing.B) { ask(b, server.URL+"/open") })
	b.Run("one daemon", func(b *testing.B) { ask(b, f.Daemons[0].Callers+"/open") })
	b.Run("two daemons", func(b *testing.B) { ask(b, f.Daemons[1].Callers+"/open") })
}

// ask sends b.N requests at once from as many callers as there are processors, and
// reports quantiles of their times.
func ask(b *testing.B, url string) {
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchSlots}}
	defer client.CloseIdleConnections()
	times := hdrhistogram.New(1, longest.Nanoseconds(), digits)
	var mu sync.Mutex
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		own := hdrhistogram.New(1, longest.Nanoseconds(), digits)
		for pb.Next() {
			began := time.Now()
			if err := get(&client, url); err != nil {
				b.Error(err)
				return
			}
			_ = own.RecordValue(time.Since(began).Nanoseconds())
		}
		mu.Lock()
		defer mu.Unlock()
		times.Merge(own)
	})
	for name, q := range map[string]float64{"p50-µs": 50, "p99-µs": 99} {
		b.ReportMetric(float64(times.ValueAtQuantile(q))/1e3, name)
	}
}

func get(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errStatus(resp.StatusCode)
	}
	return nil
}

// errStatus is an answer that the benchmark did not expect.
type errStatus int

// Error implements error.
func (e errStatus) Error() string { return http.StatusText(int(e)) }
