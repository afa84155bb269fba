package placement_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/placement"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
)

// Where a route and an account both have homes, both bind, and nothing runs in an evacuated data
// centre, not even the last one with targets. A daemon of an older build, whose region is not known,
// is in no home.
func TestRules(t *testing.T) {
	list := []registry.Registration{
		{Daemon: "a", Centre: "quito", Region: "andes"},
		{Daemon: "b", Centre: "valle", Region: "andes"},
		{Daemon: "c", Centre: "manta", Region: "coast"},
		{Daemon: "d", Centre: "lago"},
	}
	evacuated := func(c ids.Centre) bool { return c == "quito" }
	all := func(ids.Centre) bool { return true }
	cases := []struct {
		name  string
		rules placement.Rules
		want  string
	}{
		{"nothing binds", placement.Rules{}, "abcd"},
		{"evacuated", placement.Rules{Evacuated: evacuated}, "bcd"},
		{"all evacuated", placement.Rules{Evacuated: all}, ""},
		{"homes", placement.Rules{Homes: [][]ids.Region{{"andes"}}}, "ab"},
		{"homes of both", placement.Rules{Homes: [][]ids.Region{{"andes", "coast"}, {"coast"}}}, "c"},
		{"homes that contradict each other", placement.Rules{Homes: [][]ids.Region{{"andes"}, {"coast"}}}, ""},
		{"homes and evacuated", placement.Rules{Evacuated: evacuated, Homes: [][]ids.Region{{"andes"}, nil}}, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ""
			for _, reg := range c.rules.Filter(list) {
				got += string(reg.Daemon)
			}
			must.EqOp(t, c.want, got)
		})
	}
}
