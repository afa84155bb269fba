package ingress

import (
	"crypto/tls"
	"net"
	"net/http"
)

// abort ends the connection or stream so that the caller sees that the answer is truncated.
// It does not return.
func abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetConn(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConn resets the connection of a request. An HTTP/1.0 answer without a length ends when
// its connection is closed, so closing it normally would make a truncated one look complete.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if encrypted, ok := conn.(*tls.Conn); ok {
		// Closing the TLS connection would tell the caller that the stream is complete.
		conn = encrypted.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
