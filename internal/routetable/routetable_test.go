package routetable_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/routetable"
	"balsamwharf.example/balsamwharf/internal/settings"
)

func TestMatch(t *testing.T) {
	var table routetable.Table
	put := func(id ids.Route, host, prefix string) {
		table.Put(id, settings.Route{Host: host, Prefix: prefix, Service: "s"})
	}
	put("t/any", "", "/")
	put("t/quotes", "", "/quotes")
	put("t/deep", "", "/quotes/old/")
	put("t/host", "quotes.example", "/quotes")
	put("t/gone", "", "/quotes/gone")
	table.Remove("t/gone")
	cases := []struct {
		host, path string
		want       ids.Route
	}{
		{"a.example", "/", "t/any"},
		{"a.example", "/quote", "t/any"},
		{"a.example", "/quotes", "t/quotes"},
		{"a.example", "/quotes/7", "t/quotes"},
		{"a.example", "/quotes/old", "t/deep"},
		{"a.example", "/quotes/gone", "t/quotes"},
		{"Quotes.Example:8080", "/quotes/7", "t/host"},
		{"quotes.example", "/quotes/old/7", "t/deep"},
		{"a.example", "*", "t/any"},
		{"a.example", "", "t/any"},
	}
	for _, c := range cases {
		m, ok := table.Match(c.host, c.path)
		must.True(t, ok, must.Sprint(c.host, c.path))
		must.EqOp(t, c.want, m.ID, must.Sprint(c.host, c.path))
	}
}

// A route that is replaced by one with another prefix no longer matches the old prefix.
func TestPutMoves(t *testing.T) {
	var table routetable.Table
	table.Put("t/a", settings.Route{Prefix: "/old"})
	table.Put("t/a", settings.Route{Prefix: "/new"})
	_, ok := table.Match("", "/old")
	must.False(t, ok)
	id, ok := table.RouteAt(settings.Route{Prefix: "/new/"})
	must.True(t, ok)
	must.EqOp(t, "t/a", id)
}
