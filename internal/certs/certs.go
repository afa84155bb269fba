// Package certs loads the certificates with which daemons prove their names to
// each other.
//
// # Usage
//
//	id, err := certs.Load(settings.Trust)
//	server := id.Server()
//	client := id.Client("daemon-7")
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// Protocol is the application protocol between daemons.
const Protocol = "balsam/1"

// maxSessions bounds the sessions that are kept for resumption.
const maxSessions = 4096

// Certs is a daemon's certificate and the authority that it trusts.
type Certs struct {
	Own       tls.Certificate
	Authority *x509.CertPool

	once     sync.Once
	sessions tls.ClientSessionCache
}

// Load reads the files that the settings name.
func Load(t settings.Trust) (*Certs, error) {
	own, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, errorx.Decorate(err, "load certificate %s", t.Cert)
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, errorx.Decorate(err, "load authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errorx.IllegalFormat.New("%s holds no certificate", t.Authority)
	}
	return &Certs{Own: own, Authority: pool}, nil
}

// Server returns the configuration of the accepting side.
func (c *Certs) Server() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.Own},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    c.Authority,
		NextProtos:   []string{Protocol},
	}
}

// Client returns the configuration for a connection to one daemon, whose
// certificate must carry its name. A connection to a daemon that was reached
// before resumes its session, which needs no signatures; an expired certificate
// ends that on either side.
func (c *Certs) Client(to ids.Daemon) *tls.Config {
	c.once.Do(func() { c.sessions = tls.NewLRUClientSessionCache(maxSessions) })
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{c.Own},
		RootCAs:            c.Authority,
		ServerName:         string(to),
		ClientSessionCache: c.sessions,
		NextProtos:         []string{Protocol},
	}
}

// NameOf returns the daemon that a verified certificate stands for.
func NameOf(state tls.ConnectionState) (ids.Daemon, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errorx.IllegalState.New("peer sent no certificate")
	}
	name := state.PeerCertificates[0].Subject.CommonName
	if name == "" {
		return "", errorx.IllegalFormat.New("peer's certificate has no common name")
	}
	return ids.Daemon(name), nil
}
