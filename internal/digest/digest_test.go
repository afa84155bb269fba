package digest_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/digest"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
)

func TestDiffer(t *testing.T) {
	a := member.Member{Daemon: "a", Centre: "north", Incarnation: 1, Version: 1}
	b := member.Member{Daemon: "b", Centre: "south", Incarnation: 1, Version: 1}
	newer := b
	newer.Version = 2
	cases := []struct {
		name string
		x, y []member.Member
		want []ids.Centre
	}{
		{"the same in another order", []member.Member{a, b}, []member.Member{b, a}, nil},
		{"a newer version", []member.Member{a, b}, []member.Member{a, newer}, []ids.Centre{"south"}},
		{"one side lacks a data centre", []member.Member{a, b}, []member.Member{a}, []ids.Centre{"south"}},
		{"one side knows nothing", []member.Member{a, b}, nil, []ids.Centre{"north", "south"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, digest.Of(c.x).Diff(digest.Of(c.y)))
			must.Eq(t, c.want, digest.Of(c.y).Diff(digest.Of(c.x)))
		})
	}
}
