package fleet_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A caller sees that an answer without a length was cut off by a reset, also while its
// upload is still being written.
func TestResetDuringUpload(t *testing.T) {
	const length = 8 << 20 // more than the kernel buffers for a connection
	answer := "HTTP/1.1 200 OK\r\n\r\npart"
	raw := post1 + fmt.Sprintf("Content-Length: %d\r\n\r\n", length) + strings.Repeat("x", length)
	f, odd := oddFleet(t)
	odd.early = true
	odd.answer.Store(&answer)
	for i, d := range f.Daemons {
		t.Run(fmt.Sprintf("%d hops", i), func(t *testing.T) {
			for range 10 {
				renew(t, f, odd)
				got := speak(t, d.Callers, "POST", raw)
				if got.status == 502 {
					must.EqOp(t, "maybe", got.verdict)
					continue
				}
				must.True(t, got.cut, must.Sprintf("%d with %q was taken for a complete answer", got.status, got.body))
			}
		})
	}
}
