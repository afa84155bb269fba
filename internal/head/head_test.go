package head_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/head"
)

// check returns how many lines of a head were accepted, and whether the last one ended it.
func check(text string) (accepted int, ended bool) {
	var c head.Checker
	for line := range strings.SplitSeq(text, "\r\n") {
		end, err := c.Line([]byte(line))
		if err != nil {
			return accepted, false
		}
		accepted++
		if end {
			return accepted, true
		}
	}
	return accepted, false
}

func TestLines(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name     string
		text     string
		accepted int
		ended    bool
	}{
		{"no fields", status + "\r\nbody", 2, true},
		{"fields", status + "A: b\r\nC:\r\n\r\nbody", 4, true},
		{"characters of a name", status + "a!#$%&'*+-.^_`|~9: x\r\n\r\n", 3, true},
		{"any value", status + "A: \x00\xff\r\n\r\n", 3, true},
		{"blank in a name", status + "A: b\r\nA b: c\r\n\r\n", 2, false},
		{"blank before the colon", status + "A : b\r\n\r\n", 1, false},
		{"blank before the name", status + "A: b\r\n C: d\r\n\r\n", 2, false},
		{"tab before the name", status + "A: b\r\n\tC: d\r\n\r\n", 2, false},
		{"line of blanks", status + "A: b\r\n  \r\n\r\n", 2, false},
		{"control byte in a name", status + "A\x01: b\r\n\r\n", 1, false},
		{"name that is not ASCII", status + "\xe9: b\r\n\r\n", 1, false},
		{"no name", status + ": b\r\n\r\n", 1, false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nA: b\r\n\r\n", 3, true},
		{"coding of HTTP/1.1", status + "Transfer-Encoding: chunked\r\n\r\n", 3, true},
		{"coding of HTTP/1.0", "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", 1, false},
		{"later minor version", "HTTP/1.2 200 OK\r\n\r\n", 2, true},
		{"HTTP/0.9", "HTTP/0.9 200 OK\r\n\r\n", 0, false},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\n\r\n", 0, false},
		{"HTTP/9.9", "HTTP/9.9 200 OK\r\n\r\n", 0, false},
		{"no version", "200 OK\r\n\r\n", 0, false},
		{"blank line first", "\r\n" + status + "\r\n", 0, false},
		{"no colon", status + "A b\r\n\r\n", 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			accepted, ended := check(c.text)
			must.EqOp(t, c.accepted, accepted)
			must.EqOp(t, c.ended, ended)
		})
	}
}

func TestValidNames(t *testing.T) {
	must.True(t, head.ValidNames(nil))
	must.True(t, head.ValidNames(map[string][]string{"Content-Length": {"2"}, "x_y": nil}))
	must.False(t, head.ValidNames(map[string][]string{"A": nil, "Content-Length ": {"2"}}))
	must.False(t, head.ValidNames(map[string][]string{"": nil}))
}
