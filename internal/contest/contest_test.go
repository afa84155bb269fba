package contest_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/contest"
	"balsamwharf.example/balsamwharf/internal/units"
)

func plan(seed uint64) contest.Plan {
	return contest.Plan{
		Seed: seed, Targets: 8, Slots: 4, Work: 25 * time.Millisecond, Daemons: 24,
		Rates: []units.Rate{600, 400, 150, 150, 100, 100, 50, 50}, Usual: 0.6,
		Surging: 1, Surge: 10, Deadline: time.Second, Until: 15 * time.Second,
	}
}

// No account that keeps to its rate suffers from one that does not.
func TestSurge(t *testing.T) {
	for seed := range uint64(5) {
		ours := contest.Run(plan(seed), contest.Fair{})
		theirs := contest.Run(plan(seed), contest.Plain{})
		must.Positive(t, ours.Within)
		must.Eq(t, ours.Within, theirs.Within)
		must.Zero(t, ours.Refused)
		must.Greater(t, 0.99, ours.Worst)
		must.Greater(t, theirs.Worst, ours.Worst)
	}
}

// The same seed gives the same result.
func TestRepeats(t *testing.T) {
	must.Eq(t, contest.Run(plan(3), contest.Fair{}), contest.Run(plan(3), contest.Fair{}))
}
