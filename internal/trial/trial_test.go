package trial_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/trial"
)

// CI uses the defaults.
var (
	hours = flag.Float64("hours", 0.25, "simulated hours of healthy traffic per fleet")
	runs  = flag.Uint64("runs", 60, "seeds for each fault")
)

func base(seed uint64) trial.Plan {
	return trial.Plan{Seed: seed, Targets: 9, Rate: 20, Typical: 50 * time.Millisecond, Spread: 0.5, At: 25 * time.Second, Until: 45 * time.Second}
}

// quantile returns a quantile of the detection times; a miss is the longest.
func quantile(times []time.Duration, q float64) time.Duration {
	slices.Sort(times)
	return times[min(int(q*float64(len(times))), len(times)-1)]
}

// TestDetection measures the time to find one failing target of nine.
func TestDetection(t *testing.T) {
	const missed = time.Hour
	cases := []struct {
		name  string
		fault trial.Fault
		bound time.Duration
	}{
		{name: "30% errors", fault: trial.Errs{Share: 0.3}, bound: 2 * time.Second},
		{name: "5x slow", fault: trial.Slow{Factor: 5}, bound: 2 * time.Second},
		{name: "hangs", fault: trial.Hangs{}, bound: 2 * time.Second},
		{name: "one route of ten", fault: trial.Route{}, bound: 10 * time.Second},
		{name: "flaps 10s", fault: trial.Flaps{Period: 10 * time.Second}, bound: 2 * time.Second},
		{name: "cuts", fault: trial.Cuts{}, bound: 2 * time.Second},
		{name: "refuses", fault: trial.Refuses{}, bound: time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var ours, naive []time.Duration
			for seed := range *runs {
				p := base(seed)
				p.Fault = c.fault
				r := trial.Run(p)
				if r.Sick < 0 {
					r.Sick = missed
				}
				if r.Naive < 0 {
					r.Naive = missed
				}
				ours = append(ours, r.Sick)
				naive = append(naive, r.Naive)
				must.Zero(t, r.Wrong, must.Sprintf("seed %d", seed))
			}
			t.Logf("%-16s median %6s p99 %6s; five in a row: median %6s p99 %6s (1h0m0s: missed)", c.name,
				round(quantile(ours, 0.5)), round(quantile(ours, 0.99)), round(quantile(naive, 0.5)), round(quantile(naive, 0.99)))
			must.LessEq(t, c.bound, quantile(ours, 0.5))
		})
	}
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }

// TestHealthy counts wrong findings in traffic without a failing target.
func TestHealthy(t *testing.T) {
	length := time.Duration(*hours * float64(time.Hour))
	for _, targets := range []int{6, 12, 9, 8} {
		for _, spread := range []float64{0.5, 1.0} {
			t.Run(fmt.Sprintf("%d targets spread %.1f", targets, spread), func(t *testing.T) {
				p := base(uint64(targets))
				p.Targets = targets
				p.Spread = spread
				p.At = length
				p.Until = length
				r := trial.Run(p)
				t.Logf("%d samples, %d wrong; five in a row: %d wrong", r.Samples, r.Wrong, r.NaiveWrong)
				must.Zero(t, r.Wrong)
			})
		}
	}
}

// TestWide has a fault in every target of the service at once.
func TestWide(t *testing.T) {
	cases := []struct {
		name  string
		fault trial.Fault
	}{
		{name: "30% errors", fault: trial.Errs{Share: 0.3}},
		{name: "5x slow", fault: trial.Slow{Factor: 5}},
		{name: "cuts", fault: trial.Cuts{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			wrong, naive := 0, 0
			for seed := range *runs {
				p := base(seed)
				p.Fault = c.fault
				p.Wide = true
				r := trial.Run(p)
				wrong += r.Wrong
				naive += r.NaiveWrong
			}
			t.Logf("%-12s %d wrong in %d runs; five in a row: %d wrong", c.name, wrong, *runs, naive)
			must.Zero(t, wrong)
		})
	}
}
