package renew_test

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/renew"
	"balsamwharf.example/balsamwharf/internal/settings"
)

const (
	day  = 24 * time.Hour
	year = 365 * day
)

// vm is a daemon whose certificates are files in a directory.
type vm struct {
	t      *testing.T
	dir    string
	issuer *certs.Issuer
	certs  *certs.Certs
	renew  *renew.Reloader
	logs   *observer.ObservedLogs
}

// start issues certificates that are valid for the given time and starts the service.
func start(t *testing.T, valid time.Duration) *vm {
	t.Helper()
	v := &vm{t: t, dir: t.TempDir()}
	var err error
	v.issuer, err = certs.NewIssuer(time.Now(), year)
	must.NoError(t, err)
	must.NoError(t, v.issuer.Save(v.dir))
	v.issue(valid)
	c := common.Discard()
	core, logs := observer.New(zap.DebugLevel)
	c.Log, v.logs = zap.New(core), logs
	c.Settings.Trust = settings.Trust{Authority: v.file("authority.crt"), Cert: v.file("vm1.crt"), Key: v.file("vm1.key")}
	c.Settings.Listen.Cert, c.Settings.Listen.Key = v.file("vm1.crt"), v.file("vm1.key")
	v.certs, err = certs.Load(c.Settings.Trust)
	must.NoError(t, err)
	v.renew = &renew.Reloader{Common: c, Certs: v.certs}
	must.NoError(t, v.renew.Start(t.Context(), nil))
	t.Cleanup(func() { must.NoError(t, v.renew.Stop(context.Background())) })
	return v
}

func (v *vm) file(name string) string { return filepath.Join(v.dir, name) }

func (v *vm) issue(valid time.Duration) {
	v.t.Helper()
	issued, err := v.issuer.Issue("vm1", time.Now(), valid)
	must.NoError(v.t, err)
	must.NoError(v.t, issued.Save(v.dir, "vm1"))
}

// count returns how often an event was logged.
func (v *vm) count(e event.Event) int {
	return v.logs.FilterField(e.Field()).Len()
}

// presentedExpiry returns when the certificate that a server presents expires.
func (v *vm) presentedExpiry(server *tls.Config) time.Time {
	v.t.Helper()
	clientConn, serverConn := net.Pipe()
	defer clientConn.Close()
	go func() { _ = tls.Server(serverConn, server).Handshake() }()
	client := tls.Client(clientConn, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{certs.Protocol}})
	must.NoError(v.t, client.HandshakeContext(v.t.Context()))
	return client.ConnectionState().PeerCertificates[0].NotAfter
}

// Servers for callers and peers present new certificates without a restart.
func TestRenewed(t *testing.T) {
	v := start(t, 100*day)
	callers := v.renew.Server()
	peers := v.certs.Server(func(net.Addr, error) {})
	before := v.presentedExpiry(callers)
	must.Eq(t, before, v.presentedExpiry(peers))
	v.renew.ReloadChanged()
	must.Zero(t, v.count(event.CertificateRenewed))

	v.issue(200 * day)
	v.renew.ReloadChanged()
	must.EqOp(t, 2, v.count(event.CertificateRenewed))
	must.Greater(t, before.Unix(), v.presentedExpiry(callers).Unix())
	must.Eq(t, v.presentedExpiry(callers), v.presentedExpiry(peers))
}

// While a certificate file is half written, the certificate before it stays in use. The
// failure is logged once for callers and once for peers, not at every check.
func TestUnread(t *testing.T) {
	v := start(t, 100*day)
	before := v.presentedExpiry(v.renew.Server())
	must.NoError(t, os.WriteFile(v.file("vm1.crt"), []byte("half"), 0o600))
	v.renew.ReloadChanged()
	v.renew.ReloadChanged()
	must.EqOp(t, 2, v.count(event.CertificateInvalid))
	must.Eq(t, before, v.presentedExpiry(v.renew.Server()))

	v.issue(200 * day)
	v.renew.ReloadChanged()
	must.EqOp(t, 2, v.count(event.CertificateRenewed))
}

// A certificate that expires soon is logged once for each use, not at every check.
func TestExpiry(t *testing.T) {
	cases := []struct {
		name  string
		valid time.Duration
		warns int
	}{
		{name: "long", valid: 15 * day, warns: 0},
		{name: "soon", valid: 13 * day, warns: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := start(t, c.valid)
			v.renew.ReloadChanged()
			must.EqOp(t, c.warns, v.count(event.CertificateExpiring))
		})
	}
}
