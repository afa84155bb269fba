package fleet_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// A caller that speaks HTTP/1.0 gets whole answers, and sees that an answer was cut although it
// has no length.
func TestOldCallers(t *testing.T) {
	const request = "POST /deposits HTTP/1.0\r\n" + authLine + "Content-Length: 3\r\n\r\nten"
	cases := []struct {
		name   string
		answer string
		cut    bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", false},
		{"half by length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true},
		{"half by chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true},
	}
	f, odd := oddFleet(t)
	for _, c := range cases {
		for i, d := range f.Daemons {
			t.Run(fmt.Sprintf("%s by %d hops", c.name, i), func(t *testing.T) {
				renew(t, f, odd)
				odd.answer.Store(&c.answer)
				got := speak(t, d.Callers, "POST", request)
				if c.cut && got.status == 502 {
					must.EqOp(t, "maybe", got.verdict) // the reset overtook the answer
					return
				}
				must.EqOp(t, c.cut, got.cut, must.Sprintf("got %+v", got))
				if !c.cut {
					must.EqOp(t, 200, got.status)
					must.EqOp(t, "ok", got.body)
				}
			})
		}
	}
}
