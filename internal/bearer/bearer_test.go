package bearer_test

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/settings"
)

func TestTake(t *testing.T) {
	route := settings.Route{Query: "key", Cookie: "session"}
	cases := []struct {
		name   string
		route  settings.Route
		in     bearer.Request
		key    string
		target string
		header map[string][]string
	}{
		{name: "nothing", target: "/a", in: bearer.Request{Target: "/a"}},
		{name: "header", in: bearer.Request{Target: "/a", Header: map[string][]string{"Authorization": {"Bearer secret"}, "X": {"1"}}}, key: "secret", target: "/a", header: map[string][]string{"X": {"1"}}},
		{name: "scheme in other case", in: bearer.Request{Header: map[string][]string{"Authorization": {"bEARER  secret "}}}, key: "secret"},
		{name: "another scheme is removed too", in: bearer.Request{Header: map[string][]string{"Authorization": {"Basic c2VjcmV0"}}}},
		{name: "query that no route names stays", in: bearer.Request{Target: "/a?key=x"}, target: "/a?key=x"},
		{name: "query", route: route, in: bearer.Request{Target: "/a?b=%20&key=secret&c"}, key: "secret", target: "/a?b=%20&c"},
		{name: "query alone", route: route, in: bearer.Request{Target: "/a?key=secret"}, key: "secret", target: "/a"},
		{name: "query with an escaped name", route: route, in: bearer.Request{Target: "/a?k%65y=secret"}, key: "secret", target: "/a"},
		{name: "cookie", route: route, in: bearer.Request{Header: map[string][]string{"Cookie": {"a=1; session=secret; b=2"}}}, key: "secret", header: map[string][]string{"Cookie": {"a=1; b=2"}}},
		{name: "cookie alone", route: route, in: bearer.Request{Header: map[string][]string{"Cookie": {`session="secret"`}}}, key: "secret"},
		{name: "all three", route: route, in: bearer.Request{Target: "/a?key=two", Header: map[string][]string{"Authorization": {"Bearer one"}, "Cookie": {"session=three"}}}, key: "one", target: "/a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			key, stripped := bearer.Extract(c.route, c.in)
			must.EqOp(t, c.key, key)
			must.EqOp(t, c.target, stripped.Target)
			if c.header == nil {
				c.header = map[string][]string{}
			}
			must.Eq(t, c.header, stripped.Header)
		})
	}
}

// No copy of the key is left in the parts of the request that the route names, whatever
// else they contain.
func FuzzTake(f *testing.F) {
	f.Add("/a?key=%s&b", "a=1; session=%s", "Bearer %s")
	f.Add("/a?key=%s&key=%s", "session=%s;session=%s", "bearer %s")
	f.Fuzz(func(t *testing.T, target, cookie, auth string) {
		const secret = "4f1dsecret"
		fill := func(s string) string { return strings.ReplaceAll(s, "%s", secret) }
		in := bearer.Request{
			Target: fill(target),
			Header: map[string][]string{"Cookie": {fill(cookie)}, "Authorization": {fill(auth)}},
		}
		key, stripped := bearer.Extract(settings.Route{Query: "key", Cookie: "session"}, in)
		if key != "" && hasParameter(stripped.Target, "key") {
			t.Fatalf("key left in %q", stripped.Target)
		}
		if _, ok := stripped.Header["Authorization"]; ok {
			t.Fatal("Authorization left in the header")
		}
		r := http.Request{Header: stripped.Header}
		if c, err := r.Cookie("session"); err == nil {
			t.Fatalf("cookie left with value %q", c.Value)
		}
	})
}

// hasParameter reports whether the query has a parameter with the name, as net/url decodes
// it.
func hasParameter(target, name string) bool {
	_, query, _ := strings.Cut(target, "?")
	for part := range strings.SplitSeq(query, "&") {
		raw, _, _ := strings.Cut(part, "=")
		if decoded, err := url.QueryUnescape(raw); err == nil && decoded == name {
			return true
		}
	}
	return false
}
