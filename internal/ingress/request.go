package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsamwharf.example/balsamwharf/internal/entry"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// timeoutHeader holds the caller's time limit in milliseconds.
const timeoutHeader = "Timeout"

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	timeoutHeader,
}

// requestOf converts an HTTP request to the request of package entry. Errors carry a
// verdict.
func requestOf(r *http.Request) (entry.Request, error) {
	if !strings.HasPrefix(r.URL.Path, "/") {
		return entry.Request{}, verdict.New(verdict.Unrun, http.StatusBadRequest, "the request target must be a path")
	}
	timeout, err := timeoutOf(r.Header.Get(timeoutHeader))
	if err != nil {
		return entry.Request{}, err
	}
	return entry.Request{
		Method:  r.Method,
		Target:  r.URL.RequestURI(),
		Path:    r.URL.Path,
		Host:    r.Host,
		Header:  endToEnd(r.Header),
		Length:  units.Bytes(r.ContentLength),
		Timeout: timeout,
	}, nil
}

// timeoutOf parses the value of the Timeout header; an empty one means zero.
func timeoutOf(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, verdict.New(verdict.Unrun, http.StatusBadRequest, "the Timeout header must be a number of milliseconds above 0")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// endToEnd returns a copy of the header without the fields that apply to this connection
// only.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

func copyHeader(to http.Header, from map[string][]string) {
	for name, values := range endToEnd(from) {
		to[name] = values
	}
}
