package roster

import (
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
)

func TestHolds(t *testing.T) {
	named := func(id ids.Daemon, inc ids.Incarnation) Roster {
		return Roster{Entries: []Entry{{Daemon: id, Incarnation: inc}}}
	}
	first := func(r Roster) ids.Daemon { return r.Entries[0].Daemon }
	tests := []struct {
		name  string
		force Roster
		next  []Roster
		want  bool
	}{
		{"the roster in force names it", named("a", 1), nil, true},
		{"another incarnation", named("a", 2), nil, false},
		{"a newer roster takes it away", named("a", 1), []Roster{named("b", 1)}, false},
		{"a newer roster that is not in force gives nothing", named("b", 1), []Roster{named("a", 1)}, false},
		{"a newer roster in the middle", named("a", 1), []Roster{named("b", 1), named("a", 1)}, false},
		{"every one names it", named("a", 1), []Roster{named("a", 1)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := tt.force
			r.Next = tt.next
			must.EqOp(t, tt.want, r.ChosenByAll("a", 1, first))
		})
	}
}
