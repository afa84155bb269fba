package ejector

import (
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/probation"
	"balsamwharf.example/balsamwharf/internal/sample"
)

// A bad answer to a probe request ejects the target again and is logged once.
func TestTrial(t *testing.T) {
	cases := []struct {
		name     string
		outcomes []sample.Sample
		stage    probation.Stage
		relapsed bool
	}{
		{"bad at once", []sample.Sample{sample.ServerError{}}, probation.Ejected, true},
		{"good, then cut", []sample.Sample{sample.Good{}, sample.Truncated{}}, probation.Ejected, true},
		{"cancelled says nothing", []sample.Sample{sample.Cancelled{}}, probation.HalfOpen, false},
		{"five good", []sample.Sample{sample.Good{}, sample.Good{}, sample.Good{}, sample.Good{}, sample.Good{}}, probation.InService, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &state{}
			s.probation.Eject(0)
			s.probation.BeginProbing(1)
			for _, x := range c.outcomes {
				s.recordProbe(2, x)
			}
			must.EqOp(t, c.stage, s.probation.Stage())
			must.EqOp(t, c.relapsed, s.probeFailed)
		})
	}
}
