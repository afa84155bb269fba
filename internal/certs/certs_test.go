package certs_test

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/ids"
)

func newIssuer(t *testing.T) *certs.Issuer {
	t.Helper()
	issuer, err := certs.NewIssuer(time.Now(), time.Hour)
	must.NoError(t, err)
	return issuer
}

func issue(t *testing.T, issuer *certs.Issuer, id ids.Daemon, valid time.Duration) *certs.Certs {
	t.Helper()
	c, err := issuer.Issue(id, time.Now(), valid)
	must.NoError(t, err)
	return c
}

// A handshake succeeds only between daemons with certificates of one authority, and only
// with the daemon that was dialed. The accepting side reports whom it refused.
func TestPeers(t *testing.T) {
	own, other := newIssuer(t), newIssuer(t)
	server := issue(t, own, "vm1", time.Hour)
	none := issue(t, own, "vm2", time.Hour).Client("vm1")
	none.Certificates = nil
	cases := []struct {
		name     string
		client   *tls.Config
		succeeds bool
		refused  int
	}{
		{name: "same authority", client: issue(t, own, "vm2", time.Hour).Client("vm1"), succeeds: true},
		{name: "another daemon was dialed", client: issue(t, own, "vm2", time.Hour).Client("vm3")},
		{name: "server of another authority", client: issue(t, other, "vm2", time.Hour).Client("vm1")},
		{name: "client of another authority", client: withAuthorityOf(issue(t, other, "vm2", time.Hour).Client("vm1"), issue(t, own, "vm2", time.Hour)), refused: 1},
		{name: "expired client", client: withAuthorityOf(issue(t, own, "vm2", -time.Second).Client("vm1"), issue(t, own, "vm2", time.Hour)), refused: 1},
		{name: "no certificate", client: none, refused: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			refused := 0
			err := handshake(t, server.Server(func(net.Addr, error) { refused++ }), c.client)
			must.EqOp(t, c.succeeds, err == nil, must.Sprint(err))
			must.EqOp(t, c.refused, refused)
		})
	}
}

// withAuthorityOf returns the client's configuration, changed to trust the authority of
// other.
func withAuthorityOf(c *tls.Config, other *certs.Certs) *tls.Config {
	c.RootCAs = other.Client("vm1").RootCAs
	return c
}

// handshake connects the two sides over TCP and returns the errors of both.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	accepted, err := listener.Accept()
	must.NoError(t, err)
	done := make(chan error, 1)
	go func() {
		defer accepted.Close()
		done <- tls.Server(accepted, server).Handshake()
	}()
	conn := tls.Client(dialed, client)
	err = conn.Handshake()
	if err == nil {
		// The server's verdict comes after the client's handshake.
		if _, err = conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
			err = nil
		}
	}
	_ = dialed.Close()
	return errors.Join(err, <-done)
}
