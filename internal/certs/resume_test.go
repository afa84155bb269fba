package certs_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/ids"
)

const valid = time.Hour

// connect connects one daemon to another and returns the name in the certificate that
// the accepting side got, and whether the session was resumed.
func connect(t *testing.T, from *certs.Certs, to ids.Daemon, listener *quic.Listener) (ids.Daemon, bool, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, listener.Addr().String(), from.Client(to), nil)
	if err != nil {
		return "", false, err
	}
	defer func() { _ = conn.CloseWithError(0, "") }()
	other, err := listener.Accept(ctx)
	must.NoError(t, err)
	// The client receives the session ticket before the first stream.
	stream, err := other.OpenStreamSync(ctx)
	must.NoError(t, err)
	_, err = stream.Write([]byte("x"))
	must.NoError(t, err)
	_, err = conn.AcceptStream(ctx)
	must.NoError(t, err)
	name, err := certs.NameOf(other.ConnectionState().TLS)
	return name, other.ConnectionState().TLS.DidResume, err
}

// A second connection resumes the session. The accepting side still gets the client's
// name, and a session for one name is not used for another.
func TestResume(t *testing.T) {
	issuer, err := certs.NewIssuer(time.Now(), valid)
	must.NoError(t, err)
	server, err := issuer.Issue("vm1", time.Now(), valid)
	must.NoError(t, err)
	client, err := issuer.Issue("vm2", time.Now(), valid)
	must.NoError(t, err)
	listener, err := quic.ListenAddr("127.0.0.1:0", server.Server(func(net.Addr, error) {}), nil)
	must.NoError(t, err)
	defer listener.Close()
	for _, resumed := range []bool{false, true, true} {
		name, did, err := connect(t, client, "vm1", listener)
		must.NoError(t, err)
		must.Eq(t, ids.Daemon("vm2"), name)
		must.Eq(t, resumed, did)
	}
	_, _, err = connect(t, client, "vm3", listener)
	must.Error(t, err)
}

// A daemon that starts again under the same name makes a full handshake.
func TestRestartEndsSessions(t *testing.T) {
	issuer, err := certs.NewIssuer(time.Now(), valid)
	must.NoError(t, err)
	client, err := issuer.Issue("vm2", time.Now(), valid)
	must.NoError(t, err)
	for range 2 {
		server, err := issuer.Issue("vm1", time.Now(), valid)
		must.NoError(t, err)
		listener, err := quic.ListenAddr("127.0.0.1:0", server.Server(func(net.Addr, error) {}), nil)
		must.NoError(t, err)
		_, did, err := connect(t, client, "vm1", listener)
		must.NoError(t, err)
		must.False(t, did)
		must.NoError(t, listener.Close())
	}
}
