package cusum_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/cusum"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/sibling"
)

// accept is the sum at which Wald's sequential test accepts a target as healthy and
// starts again, with a miss probability of one in a hundred: log(0.01) is -4.6.
const accept = -4.6

// draw returns a random outcome, bad with probability share.
func draw(rng *rand.Rand, share float64) (bool, sample.Sample) {
	if rng.Float64() < share {
		return true, sample.ServerError{}
	}
	return false, sample.Good{}
}

// delays returns the detection delay of each test, in outcomes, after the share of
// errors changes from 0.001.
func delays(seed uint64, share float64) (ours, wald int) {
	const before, limit = 400, 10000
	rng := rand.New(rand.NewPCG(seed, 1))
	var c cusum.Cusum
	var baseline sibling.Baseline
	sum := 0.0
	for i := 1 - before; i < limit && (ours == 0 || wald == 0); i++ {
		now := 0.001
		if i > 0 {
			now = share
		}
		bad, x := draw(rng, now)
		ratio := cusum.ErrorRatio(baseline, bad)
		c.Add(0, x, ratio)
		sum += ratio
		if sum <= accept {
			sum = 0
		}
		if i > 0 && ours == 0 && c.Sum() >= cusum.Threshold {
			ours = i
		}
		if i > 0 && wald == 0 && sum >= cusum.Threshold {
			wald = i
		}
	}
	return ours, wald
}

// CUSUM must detect a change no later, in the median, than repeated sequential
// probability ratio tests (Wald) with the same ratio.
func TestAgainstWald(t *testing.T) {
	const runs = 2000
	for _, share := range []float64{0.3, 0.5, 1} {
		var ours, wald []int
		for seed := range uint64(runs) {
			a, b := delays(seed, share)
			ours = append(ours, a)
			wald = append(wald, b)
		}
		slices.Sort(ours)
		slices.Sort(wald)
		t.Logf("%3.0f%% errors: cusum median %d p99 %d outcomes; repeated SPRT median %d p99 %d", share*100,
			ours[runs/2], ours[runs*99/100], wald[runs/2], wald[runs*99/100])
		must.LessEq(t, wald[runs/2], ours[runs/2])
	}
}

// Four outcomes must not reach the threshold, whatever they are; five may.
func TestMaxStep(t *testing.T) {
	must.Less(t, cusum.Threshold, 4*cusum.MaxStep)
	must.GreaterEq(t, cusum.Threshold, 5*cusum.MaxStep)
}
