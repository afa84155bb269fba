package capacity_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/capacity"
	"balsamwharf.example/balsamwharf/internal/slopes"
)

const frame = "before\n<!-- generated from docs/slopes.json by go run ./cmd/balsamdocs -->\nold\n<!-- end -->\nafter\n"

// Only the part between the markers is replaced, and a second time changes nothing.
func TestFill(t *testing.T) {
	page := capacity.Page{}
	once, err := page.Fill([]byte(frame))
	must.NoError(t, err)
	must.StrHasPrefix(t, "before\n", string(once))
	must.StrHasSuffix(t, "after\n", string(once))
	must.StrNotContains(t, string(once), "old\n")
	twice, err := page.Fill(once)
	must.NoError(t, err)
	must.Eq(t, string(once), string(twice))
	_, err = page.Fill([]byte("no marker"))
	must.Error(t, err)
}

// What is over its budget is said with its factor, the rest is within it.
func TestVerdicts(t *testing.T) {
	cases := []struct {
		name string
		set  func(*slopes.Slopes)
		want string
	}{
		{"within", func(*slopes.Slopes) {}, "| within |"},
		{"memory", func(s *slopes.Slopes) { s.Memory.Base = 256e6 }, "memory over by a factor of 2.0"},
		{"processor", func(s *slopes.Slopes) {
			s.Rest = []slopes.Rest{{Members: 100, Processor: 1400}, {Members: 1000, Processor: 14000}}
		}, "processor over by a factor of 2.0"},
		{"force", func(s *slopes.Slopes) { s.Work.Force = 6e6 }, "over by a factor of 1.5"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s slopes.Slopes
			c.set(&s)
			text, err := capacity.Page{Slopes: s}.Fill([]byte(frame))
			must.NoError(t, err)
			must.True(t, strings.Contains(string(text), c.want), must.Sprint(string(text)))
		})
	}
}
