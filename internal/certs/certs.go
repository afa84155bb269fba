// Package certs loads the certificates with which daemons authenticate to each other,
// and issues them.
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

// Protocol is the ALPN name of the protocol between daemons.
const Protocol = "balsam/1"

// Certs is a daemon's certificate and the certificate authority that it trusts. Reload
// may replace both while connections are open; each handshake uses the newest ones. It
// is safe for concurrent use.
type Certs struct{ current atomic.Pointer[trusted] }

// trusted is the state of one load. Handshakes use one state as a whole.
type trusted struct {
	own       tls.Certificate
	authority *x509.CertPool
	// sessions belong to this state, so none is resumed after a reload.
	sessions tls.ClientSessionCache
}

// maxSessions bounds the cache of sessions for resumption.
const maxSessions = 4096

func newTrusted(own tls.Certificate, authority *x509.CertPool) *trusted {
	return &trusted{own: own, authority: authority, sessions: tls.NewLRUClientSessionCache(maxSessions)}
}

// RefusedFunc is called for each peer whose certificate was refused, with its address
// and the reason. It runs in the handshake of that peer.
type RefusedFunc func(from net.Addr, err error)

// Load reads the files that the settings name. On an error the returned Certs has no
// certificate.
func Load(t settings.Trust) (*Certs, error) {
	c := &Certs{}
	return c, c.Reload(t)
}

// Reload reads the files again. On an error the certificates stay as they were.
func (c *Certs) Reload(t settings.Trust) error {
	own, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return errorx.Decorate(err, "load certificate %s and its key; check cert and key in section [trust]", t.Cert)
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return errorx.Decorate(err, "load certificate authority; check authority in section [trust]")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errorx.IllegalFormat.New("%s contains no PEM certificate; set authority in section [trust] to the certificate of the authority", t.Authority)
	}
	c.current.Store(newTrusted(own, pool))
	return nil
}

// latest returns the newest state. Before the first Reload it has no certificate and
// trusts no authority.
func (c *Certs) latest() *trusted {
	if t := c.current.Load(); t != nil {
		return t
	}
	return &trusted{authority: x509.NewCertPool()}
}

// Own returns the daemon's certificate. It is empty before the first Reload.
func (c *Certs) Own() *tls.Certificate {
	return &c.latest().own
}

// Server returns the configuration of the accepting side. It verifies peers itself,
// because the TLS library does not report which peers it refused. The check runs on
// resumed sessions too, so each connection is verified against the newest authority.
func (c *Certs) Server(refused RefusedFunc) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			return c.latest().server(hello.Conn.RemoteAddr(), refused), nil
		},
	}
}

// server returns the configuration for one handshake with the peer at the address.
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

// verify checks that the peer's certificate names a daemon and that the authority
// signed it for use by a client, directly or through intermediates.
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
// certificate must be valid for its name. A further connection to the same daemon
// resumes the session, which needs no signatures. An expired certificate on either side
// prevents resumption.
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

// NameOf returns the daemon that the peer's certificate was issued for: its common name,
// which must also be among its DNS names. It does not check who signed the certificate.
func NameOf(state tls.ConnectionState) (ids.Daemon, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errorx.IllegalState.New("peer sent no certificate")
	}
	cert := state.PeerCertificates[0]
	name := cert.Subject.CommonName
	if name == "" {
		return "", errorx.IllegalFormat.New("peer's certificate has no common name; it must be the name of its daemon")
	}
	if err := cert.VerifyHostname(name); err != nil {
		return "", errorx.Decorate(err, "common name of the peer's certificate must also be one of its DNS names")
	}
	return ids.Daemon(name), nil
}
