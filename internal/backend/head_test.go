package backend_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/backend"
)

// A head arrives whole however its bytes are spread over reads, also if it is longer than the
// buffer.
func TestHeadInPieces(t *testing.T) {
	long := strings.Repeat("x", 10_000)
	const first = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
	whole := first + "HTTP/1.1 200 OK\nLong: " + long + "\r\nContent-Length: 2\r\n\r\nok"
	for _, size := range []int{1, 2, 3, 4096, len(first), len(whole)} {
		near, far := net.Pipe()
		conn := backend.New(near)
		go func() {
			buffer := make([]byte, 4096)
			_, _ = far.Read(buffer)
			for rest := whole; rest != ""; {
				n := min(size, len(rest))
				_, _ = io.WriteString(far, rest[:n])
				rest = rest[n:]
			}
		}()
		resp, _, err := conn.Exchange(t.Context(), request("GET", ""))
		must.NoError(t, err)
		must.EqOp(t, long, resp.Header.Get("Long"))
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.EqOp(t, "ok", string(body))
		must.NoError(t, resp.Body.Close())
		must.True(t, conn.Reusable())
		_ = conn.Close()
		_ = far.Close()
	}
}

// A connection that ends before the end of a head is an error, wherever the head breaks off.
func TestHeadsThatBreakOff(t *testing.T) {
	const first = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
	for _, whole := range []string{"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n", "HTTP/1.0 200 OK\n\n", first + "HTTP/1.1 204 No Content\r\n\r\n"} {
		for n := range len(whole) {
			near, far := net.Pipe()
			conn := backend.New(near)
			go func() {
				_, _ = far.Read(make([]byte, 4096))
				_, _ = io.WriteString(far, whole[:n])
				_ = far.Close()
			}()
			_, sent, err := conn.Exchange(t.Context(), request("GET", ""))
			must.True(t, sent)
			must.Error(t, err, must.Sprintf("%q was taken for a whole head", whole[:n]))
			must.False(t, conn.Reusable())
		}
	}
}
