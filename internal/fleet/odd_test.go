package fleet_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/fleet"
	"balsamwharf.example/balsamwharf/internal/units"
)

// reply is what a test's caller read from its connection.
type reply struct {
	status  int
	verdict string
	body    string
	trailer string
	cut     bool
}

// speak writes raw bytes to a daemon and reads one answer.
func speak(t *testing.T, base, method, raw string) reply {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	go func() { _, _ = io.WriteString(conn, raw) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return reply{cut: true}
	}
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, verdict: resp.Header.Get("Verdict"), body: string(body), trailer: resp.Trailer.Get("Sum"), cut: err != nil}
}

const (
	authLine = "Host: x\r\nAuthorization: Bearer " + key + "\r\n"
	post1    = "POST /deposits HTTP/1.1\r\n" + authLine
	get1     = "GET /deposits HTTP/1.1\r\n" + authLine
)

// Odd requests of callers get a right answer or a clear refusal, and run at most
// once.
func TestOddCallers(t *testing.T) {
	cases := []struct {
		name    string
		method  string
		raw     string
		status  int
		verdict string
		body    string
		ran     int
		cut     bool
	}{
		{name: "plain", raw: get1 + "\r\n", status: 200, verdict: "ran", body: "*", ran: 1},
		{name: "chunked", raw: post1 + "Transfer-Encoding: chunked\r\n\r\n3\r\nten\r\n0\r\n\r\n", status: 200, verdict: "ran", body: "ten", ran: 1},
		{name: "length and chunks", raw: post1 + "Content-Length: 30\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nten\r\n0\r\n\r\n", status: 200, verdict: "ran", body: "ten", ran: 1},
		{name: "two lengths", raw: post1 + "Content-Length: 3\r\nContent-Length: 4\r\n\r\ntens", status: 400},
		{name: "odd coding", raw: post1 + "Transfer-Encoding: xchunked\r\n\r\n3\r\nten\r\n0\r\n\r\n", status: 501},
		{name: "folded header", raw: post1 + " folded: x\r\nContent-Length: 0\r\n\r\n", status: 401, verdict: "unrun"},
		{name: "head", method: "HEAD", raw: "HEAD /deposits HTTP/1.1\r\n" + authLine + "\r\n", status: 200, verdict: "ran", ran: 1},
		{name: "expect", raw: post1 + "Expect: nonsense\r\nContent-Length: 0\r\n\r\n", status: 417},
		{name: "garbage", raw: "garbage that is longer than the preface of HTTP/2\r\n\r\n", status: 400},
		{name: "no host", raw: "GET /deposits HTTP/1.1\r\n\r\n", status: 400},
		{name: "connect", method: "CONNECT", raw: "CONNECT a:1 HTTP/1.1\r\n" + authLine + "\r\n", status: 400, verdict: "unrun", body: "*"},
		{name: "star", method: "OPTIONS", raw: "OPTIONS * HTTP/1.1\r\n" + authLine + "\r\n", status: 400, verdict: "unrun", body: "*"},
	}
	f := share(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := total(f.Daemons[0].Standin.Total, f.Daemons[1].Standin.Total)
			got := speak(t, f.Daemons[0].Callers, c.method, c.raw)
			must.EqOp(t, c.status, got.status)
			if c.verdict != "" {
				must.EqOp(t, c.verdict, got.verdict)
			}
			if c.body != "*" && c.status == 200 {
				must.EqOp(t, c.body, got.body)
			}
			must.EqOp(t, c.cut, got.cut)
			must.EqOp(t, c.ran, total(f.Daemons[0].Standin.Total, f.Daemons[1].Standin.Total)-before)
		})
	}
}

func total(counts ...func() int) int {
	n := 0
	for _, count := range counts {
		n += count()
	}
	return n
}

// Odd answers of backend servers reach the caller whole or visibly cut, by
// either way, and leave no slot taken.
func TestOddAnswers(t *testing.T) {
	cases := []struct {
		name    string
		answer  string
		status  int
		verdict string
		body    string
		trailer string
		cut     bool
	}{
		{name: "no content", answer: "HTTP/1.1 204 No Content\r\n\r\n", status: 204, verdict: "ran"},
		{name: "not modified", answer: "HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n", status: 304, verdict: "ran"},
		{name: "early hints", answer: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", status: 200, verdict: "ran", body: "ok"},
		{name: "own verdict", answer: "HTTP/1.1 200 OK\r\nVerdict: unrun\r\nContent-Length: 2\r\n\r\nok", status: 200, verdict: "ran", body: "ok"},
		{name: "trailer", answer: "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nSum: 7\r\n\r\n", status: 200, verdict: "ran", body: "ok", trailer: "7"},
		{name: "half by length", answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", status: 200, verdict: "ran", body: "half", cut: true},
		{name: "half by chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", status: 200, verdict: "ran", body: "half", cut: true},
		{name: "broken chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n", status: 200, verdict: "ran", body: "half", cut: true},
		{name: "too long", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more", status: 200, verdict: "ran", body: "ok"},
		{name: "garbage", answer: "garbage\r\n\r\n", status: 502, verdict: "maybe"},
		{name: "two lengths", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk", status: 502, verdict: "maybe"},
		{name: "endless header", answer: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 2<<20), status: 502, verdict: "maybe"},
		{name: "status 000", answer: "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok", status: 502, verdict: "maybe"},
		{name: "cut within the header", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", status: 502, verdict: "maybe"},
		{name: "blank in a name", answer: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more", status: 502, verdict: "maybe"},
		{name: "blank before a name", answer: "HTTP/1.1 200 OK\r\nA: b\r\n Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", status: 502, verdict: "maybe"},
		{name: "control byte in a name", answer: "HTTP/1.1 200 OK\r\nA\x01b: c\r\nContent-Length: 2\r\n\r\nok", status: 502, verdict: "maybe"},
		{name: "blank in a name of a trailer", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA b: c\r\n\r\n", status: 200, verdict: "ran", body: "ok", cut: true},
		{name: "nothing", answer: "", status: 502, verdict: "maybe"},
		{name: "switch", answer: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", status: 502, verdict: "maybe"},
	}
	f, odd := oddFleet(t)
	for _, c := range cases {
		for i, d := range f.Daemons {
			t.Run(fmt.Sprintf("%s by %d hops", c.name, i), func(t *testing.T) {
				renew(t, f, odd)
				odd.answer.Store(&c.answer)
				got := speak(t, d.Callers, "POST", post1+"Content-Length: 3\r\n\r\nten")
				if c.cut && got.status == http.StatusBadGateway {
					must.EqOp(t, "maybe", got.verdict) // the reset overtook the answer
					return
				}
				if c.cut && got.status == 0 {
					return // a short answer that was cut before any byte of it left
				}
				must.EqOp(t, c.status, got.status)
				must.EqOp(t, c.verdict, got.verdict)
				if c.status < 400 {
					must.EqOp(t, c.body, got.body)
				}
				must.EqOp(t, c.trailer, got.trailer)
				must.EqOp(t, c.cut, got.cut)
			})
		}
	}
}

// A request with a length and chunks goes on as one message in chunks, so that a
// backend server has no second way to see where it ends. RFC 9112 lets chunks win.
func TestLengthAndChunks(t *testing.T) {
	f, odd := oddFleet(t)
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	odd.answer.Store(&answer)
	const inner = "POST /deposits/inner HTTP/1.1\r\nHost: x\r\n\r\n"
	bodies := []struct {
		length string
		chunks string
		want   string
	}{
		{length: "3", chunks: "3\r\nten\r\n0\r\n\r\n", want: "3\r\nten\r\n0\r\n\r\n"},
		{length: "30", chunks: "0\r\n\r\n", want: "0\r\n\r\n"},
		{length: "0", chunks: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner), want: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)},
	}
	for _, b := range bodies {
		for _, d := range f.Daemons {
			renew(t, f, odd)
			got := speak(t, d.Callers, "POST", post1+"Content-Length: "+b.length+"\r\nTransfer-Encoding: chunked\r\n\r\n"+b.chunks)
			must.EqOp(t, 200, got.status)
			head, body, _ := strings.Cut(odd.request(), "\r\n\r\n")
			must.StrContains(t, head, "\r\nTransfer-Encoding: chunked")
			must.StrNotContains(t, head, "Content-Length")
			must.EqOp(t, b.want, body)
		}
	}
}

// oddFleet runs a fleet whose only target is a rawServer.
func oddFleet(t *testing.T) (*fleet.Fleet, *rawServer) {
	t.Helper()
	f := start(t)
	odd := &rawServer{}
	odd.start(t)
	for _, d := range f.Daemons {
		must.NoError(t, d.Leave())
	}
	renew(t, f, odd)
	for _, d := range f.Daemons {
		must.NoError(t, fleet.WaitFor(t.Context(), func() bool { return d.App.TargetCount("andrade/payments") == 1 }))
	}
	return f, odd
}

// renew announces the server anew with another number of slots, so that its daemon
// opens a new connection. A request on a connection that the server is just closing
// ends as maybe, which is true but not what the tests are about.
func renew(t *testing.T, f *fleet.Fleet, s *rawServer) {
	t.Helper()
	s.slots = 3 - max(s.slots, 1)
	must.NoError(t, f.Daemons[0].AnnounceAt(s.listener.Addr().String(), s.slots))
}

// rawServer reads one request from each connection, sends raw bytes and closes.
type rawServer struct {
	listener net.Listener
	answer   atomic.Pointer[string]
	// early is set to answer before the body of the request is read, and then to reset the
	// connection.
	early bool
	slots units.Slots

	mu   sync.Mutex
	last string
}

// request returns the bytes of the last request.
func (s *rawServer) request() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

func (s *rawServer) start(t *testing.T) {
	t.Helper()
	var err error
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = s.listener.Close() })
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
}

func (s *rawServer) serve(conn net.Conn) {
	defer conn.Close()
	var seen bytes.Buffer
	req, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &seen)))
	if err != nil {
		return
	}
	if s.early {
		_, _ = io.WriteString(conn, *s.answer.Load())
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	s.mu.Lock()
	s.last = seen.String()
	s.mu.Unlock()
	_, _ = io.WriteString(conn, *s.answer.Load())
}
