package fleet_test

import (
	"bufio"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/fleet"
)

// zeros yields a number of zero bytes and notes the largest live heap on the way.
type zeros struct {
	left int
	step int
	most uint64
}

const heapStep = 4 << 20

// Read implements io.Reader.
func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), z.left)
	clear(p[:n])
	z.left -= n
	if z.step += n; z.step >= heapStep {
		z.step = 0
		z.look()
	}
	return n, nil
}

func (z *zeros) look() {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	z.most = max(z.most, m.HeapAlloc)
}

// echo sends a body of a size through the fleet and returns the largest live heap.
func echo(t *testing.T, f *fleet.Fleet, size int) uint64 {
	t.Helper()
	z := &zeros{left: size}
	req, err := http.NewRequest("POST", f.Daemons[0].Callers+"/deposits", z)
	must.NoError(t, err)
	req.ContentLength = int64(size)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	must.EqOp(t, int64(size), n)
	return z.most
}

// The memory of both daemons, the caller and the backend server together does not
// grow with the body.
func TestMemoryOfLargeBody(t *testing.T) {
	f := share(t)
	echo(t, f, 8<<20)
	small, large := echo(t, f, 16<<20), echo(t, f, 128<<20)
	t.Logf("largest live heap: %d MiB with 16 MiB, %d MiB with 128 MiB", small>>20, large>>20)
	must.Less(t, small+16<<20, large)
}

// A caller that reads slowly gets its whole answer, and others are served meanwhile.
func TestSlowReader(t *testing.T) {
	f := share(t)
	body := strings.Repeat("slow", 4<<20)
	slow := send(t, "POST", f.Daemons[0].Callers+"/deposits", strings.NewReader(body), auth())
	must.EqOp(t, http.StatusOK, slow.StatusCode)
	for range 10 {
		must.EqOp(t, http.StatusOK, send(t, "GET", f.Daemons[0].Callers+"/deposits/1", nil, auth()).StatusCode)
	}
	sum := sha256.New()
	_, err := io.Copy(sum, slow.Body)
	must.NoError(t, err)
	want := sha256.Sum256([]byte(body))
	must.Eq(t, want[:], sum.Sum(nil))
}

// A caller that closes its sending half counts as gone, because net/http can't tell
// the two apart. It gets a clear refusal with a verdict, or its answer when that
// was quicker.
func TestHalfClosedCaller(t *testing.T) {
	f := share(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.Daemons[0].Callers, "http://"))
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, get1+"\r\n")
	must.NoError(t, err)
	must.NoError(t, conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		must.EqOp(t, "ran", resp.Header.Get("Verdict"))
		return
	}
	must.SliceContains(t, []string{"unrun", "maybe"}, resp.Header.Get("Verdict"))
	must.EqOp(t, "application/problem+json", resp.Header.Get("Content-Type"))
}

// A chunk whose length is no number, or too large for one, is refused.
func TestOversizedChunk(t *testing.T) {
	f := share(t)
	for _, length := range []string{"fffffffffffffffff", "x", "-1"} {
		got := speak(t, f.Daemons[0].Callers, "POST", post1+"Transfer-Encoding: chunked\r\n\r\n"+length+"\r\nten\r\n0\r\n\r\n")
		must.Between(t, 400, got.status, 599, must.Sprint(length))
		must.NotEqOp(t, "ran", got.verdict)
	}
}

func TestHTTP2WithoutTLS(t *testing.T) {
	f := share(t)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := http.Client{Transport: &http.Transport{Protocols: protocols}}
	req, err := http.NewRequest("POST", f.Daemons[0].Callers+"/deposits", strings.NewReader("ten"))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.EqOp(t, 2, resp.ProtoMajor)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.EqOp(t, "ten", string(body))
	must.EqOp(t, "ran", resp.Header.Get("Verdict"))
}
