package fleet_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// A caller's connection serves many requests, with and without bodies. The first
// version set a read deadline after each request without a body, which cancelled
// the next request on the connection.
func TestKeepAlive(t *testing.T) {
	f := share(t)
	var dials atomic.Int32
	var dialer net.Dialer
	client := http.Client{Transport: &http.Transport{
		MaxConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			dials.Add(1)
			return dialer.DialContext(ctx, network, addr)
		},
	}}
	for range 100 {
		req, err := http.NewRequest("GET", f.Daemons[0].Callers+"/deposits/1", nil)
		must.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := client.Do(req)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.EqOp(t, http.StatusOK, resp.StatusCode)
	}
	must.EqOp(t, 1, dials.Load())
}
