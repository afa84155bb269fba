package ingress

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// A caller can tell an answer that was aborted from a whole one, also without a length.
func TestAbort(t *testing.T) {
	for _, encrypted := range []bool{false, true} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(fmt.Sprintf("%s, TLS %t", version, encrypted), func(t *testing.T) {
				headRead := make(chan struct{})
				server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.WriteString(w, "half")
					_ = http.NewResponseController(w).Flush()
					<-headRead
					abort(w, r)
				}))
				defer server.Close()
				if encrypted {
					server.StartTLS()
				} else {
					server.Start()
				}
				conn, err := net.Dial("tcp", server.Listener.Addr().String())
				must.NoError(t, err)
				defer conn.Close()
				if encrypted {
					conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
				}
				_, err = io.WriteString(conn, "GET / "+version+"\r\nHost: h\r\n\r\n")
				must.NoError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				must.NoError(t, err)
				close(headRead)
				_, err = io.ReadAll(resp.Body)
				must.Error(t, err)
			})
		}
	}
}
