package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/backend"
)

func request(method, body string) *http.Request {
	r := &http.Request{Method: method, Host: "h", URL: &url.URL{Scheme: "http", Host: "h", Opaque: "/x"}, Header: http.Header{}}
	if body != "" {
		r.Body = io.NopCloser(strings.NewReader(body))
		r.ContentLength = int64(len(body))
	}
	return r
}

// A connection may be reused only after a complete request and a complete answer.
func TestReuse(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		read   bool
		bad    bool
		reuse  bool
	}{
		{name: "whole answer", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", read: true, reuse: true},
		{name: "chunked answer", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", read: true, reuse: true},
		{name: "interim answers first", answer: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", read: true, reuse: true},
		{name: "not read", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{name: "closing", answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", read: true},
		{name: "garbage", answer: "garbage\r\n\r\n", bad: true},
		{name: "switches protocols", answer: "HTTP/1.1 101 Switching Protocols\r\n\r\n", bad: true},
		{name: "no answer", bad: true},
		{name: "an interim answer is the last word", answer: "HTTP/1.1 103 Early Hints\r\n\r\n", bad: true},
		{name: "status 000", answer: "HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", bad: true},
		{name: "status 099", answer: "HTTP/1.1 099 Odd\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", bad: true},
		{name: "status 600", answer: "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok", bad: true},
		{name: "status 999", answer: "HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\nok", bad: true},
		{name: "blank before a colon", answer: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", bad: true},
		{name: "blank before a name", answer: "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 2\r\n\r\nok", bad: true},
		{name: "blank in a name of an interim answer", answer: "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", bad: true},
		{name: "HTTP/1.0", answer: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok", read: true, reuse: true},
		{name: "HTTP/1.0 with chunks", answer: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", bad: true},
		{name: "long header", answer: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 50_000) + "\r\nContent-Length: 2\r\n\r\nok", read: true, reuse: true},
		{name: "endless header", answer: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 2<<20), bad: true},
		{name: "endless interim answers", answer: strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: "+strings.Repeat("x", 1000)+"\r\n\r\n", 2000), bad: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				conn := backend.New(near)
				go answerOnce(far, c.answer)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				resp, sent, err := conn.Exchange(ctx, request("POST", "body"))
				must.True(t, sent)
				must.EqOp(t, c.bad, err != nil)
				if err == nil {
					if c.read {
						_, err = io.ReadAll(resp.Body)
						must.NoError(t, err)
					}
					must.NoError(t, resp.Body.Close())
				}
				must.EqOp(t, c.reuse, conn.Reusable())
				_, sent, err = conn.Exchange(ctx, request("GET", ""))
				must.EqOp(t, c.reuse, sent)
				must.Error(t, err)
				_ = conn.Close()
				_ = far.Close()
			})
		})
	}
}

// answerOnce reads one request, sends the text and discards all further input.
func answerOnce(c net.Conn, text string) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, text)
	_, _ = io.Copy(io.Discard, c)
}

// A truncated answer is an error with a Content-Length as well as with chunks, and so is a
// malformed trailer.
func TestCutAnswers(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nA b: c\r\n\r\n",
	} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			conn := backend.New(near)
			go func() {
				defer far.Close()
				_, _ = http.ReadRequest(bufio.NewReader(far))
				_, _ = io.WriteString(far, text)
			}()
			resp, _, err := conn.Exchange(t.Context(), request("GET", ""))
			must.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			must.Error(t, err)
			_ = resp.Body.Close()
			must.False(t, conn.Reusable())
		})
	}
}
