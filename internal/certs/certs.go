// Package certs loads the certificates with which daemons prove their names to
// each other.
//
// # Usage
//
//	id, err := certs.Load(settings.Trust)
//	server := id.Server(func(from net.Addr, err error) { ... })
//	client := id.Client("daemon-7")
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// Protocol is the application protocol between daemons.
const Protocol = "balsam/1"

// Certs is a daemon's certificate and the authority that it trusts. Both may be
// replaced while connections use them; handshakes take the newest ones.
type Certs struct{ current atomic.Pointer[trusted] }

// trusted is what handshakes need at one time.
type trusted struct {
	own       tls.Certificate
	authority *x509.CertPool
	// sessions are resumed only while these certificates are the newest.
	sessions tls.ClientSessionCache
}

// maxSessions bounds the sessions that are kept for resumption.
const maxSessions = 4096

func newTrusted(own tls.Certificate, authority *x509.CertPool) *trusted {
	return &trusted{own: own, authority: authority, sessions: tls.NewLRUClientSessionCache(maxSessions)}
}

// Refused is told of each peer whose certificate was refused.
type RefusedFunc func(from net.Addr, err error)

// Load reads the files that the settings name.
func Load(t settings.Trust) (*Certs, error) {
	c := &Certs{}
	return c, c.Reload(t)
}

// Reload reads the files again. After an error the certificates stay as they were.
func (c *Certs) Reload(t settings.Trust) error {
	own, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return errorx.Decorate(err, "load certificate %s", t.Cert)
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return errorx.Decorate(err, "load authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errorx.IllegalFormat.New("%s holds no certificate", t.Authority)
	}
	c.current.Store(newTrusted(own, pool))
	return nil
}

// load returns the present certificates; there are none before Reload.
func (c *Certs) latest() *trusted {
	if t := c.current.Load(); t != nil {
		return t
	}
	return &trusted{authority: x509.NewCertPool()}
}

// Own returns the daemon's certificate.
func (c *Certs) Own() *tls.Certificate {
	return &c.latest().own
}

// Server returns the configuration of the accepting side. It checks peers itself,
// because the TLS library does not tell which peers it refused. The check runs on
// a resumed session too, so each connection is judged by the newest authority.
func (c *Certs) Server(refused RefusedFunc) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			return c.latest().server(hello.Conn.RemoteAddr(), refused), nil
		},
	}
}

func (t *trusted) server(from net.Addr, refused RefusedFunc) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{t.own},
		ClientAuth:   tls.RequestClientCert,
		NextProtos:   []string{Protocol},
		VerifyConnection: func(state tls.ConnectionState) error {
			err := t.verify(state)
			if err != nil {
				refused(from, err)
			}
			return err
		},
	}
}

// verify checks that the authority signed the peer's certificate and that it names
// a daemon.
func (t *trusted) verify(state tls.ConnectionState) error {
	if _, err := NameOf(state); err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         t.authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return err
}

// Client returns the configuration for a connection to one daemon, whose
// certificate must carry its name. A connection to a daemon that was reached before
// resumes its session, which needs no signatures; an expired certificate ends that
// on either side.
func (c *Certs) Client(to ids.Daemon) *tls.Config {
	t := c.latest()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{t.own},
		RootCAs:            t.authority,
		ServerName:         string(to),
		ClientSessionCache: t.sessions,
		NextProtos:         []string{Protocol},
	}
}

// NameOf returns the daemon that a certificate stands for: its common name, which
// must also be among its DNS names.
func NameOf(state tls.ConnectionState) (ids.Daemon, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errorx.IllegalState.New("peer sent no certificate")
	}
	cert := state.PeerCertificates[0]
	name := cert.Subject.CommonName
	if name == "" {
		return "", errorx.IllegalFormat.New("peer's certificate has no common name")
	}
	if err := cert.VerifyHostname(name); err != nil {
		return "", errorx.Decorate(err, "common name of the peer's certificate")
	}
	return ids.Daemon(name), nil
}
