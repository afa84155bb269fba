package probation_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/probation"
	"balsamwharf.example/balsamwharf/internal/units"
)

func at(d time.Duration) units.Instant { return units.Instant(d) }

// pass takes a target through its probe requests.
func pass(t *testing.T, p *probation.Probation, now units.Instant) {
	t.Helper()
	p.BeginProbing(now)
	for range 4 {
		must.False(t, p.RecordGood(now))
	}
	must.True(t, p.RecordGood(now))
	must.EqOp(t, probation.InService, p.Stage())
}

func TestRelapseDoubles(t *testing.T) {
	var p probation.Probation
	now := at(time.Hour)
	for _, want := range []time.Duration{5, 10, 20, 40, 80, 160, 300, 300} {
		p.Eject(now)
		must.EqOp(t, want*time.Second, p.EjectionTime())
		must.False(t, p.CheckDue(now.Add(p.EjectionTime()-1)))
		now = now.Add(p.EjectionTime())
		must.True(t, p.CheckDue(now))
		pass(t, &p, now)
		now = now.Add(10 * time.Second)
	}
}

func TestGoodTimeForgives(t *testing.T) {
	var p probation.Probation
	p.Eject(at(0))
	p.BeginProbing(at(time.Second))
	p.RecordBad(at(2 * time.Second))
	must.EqOp(t, 10*time.Second, p.EjectionTime())
	pass(t, &p, at(20*time.Second))
	p.Eject(at(20*time.Second + 2*time.Minute))
	must.EqOp(t, 5*time.Second, p.EjectionTime())
}

func TestFailedTrial(t *testing.T) {
	var p probation.Probation
	p.Eject(at(0))
	p.BeginProbing(at(5 * time.Second))
	must.False(t, p.RecordGood(at(5*time.Second)))
	p.RecordBad(at(6 * time.Second))
	must.EqOp(t, probation.Ejected, p.Stage())
	must.False(t, p.CheckDue(at(15*time.Second)))
	must.True(t, p.CheckDue(at(16*time.Second)))
}
