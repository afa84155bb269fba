// Package keypair provides a certificate for an HTTP server that can be replaced while
// the server runs.
//
// # Usage
//
//	k := &keypair.Keypair{}
//	err := k.Load("callers.crt", "callers.key")
//	server.TLSConfig = k.Server()
package keypair

import (
	"crypto/tls"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// Keypair is a certificate with its private key. The zero Keypair has none, and its
// server refuses every handshake. It is safe for concurrent use.
type Keypair struct {
	current atomic.Pointer[tls.Certificate]
}

// Load reads the certificate and the key from PEM files. On an error the certificate
// stays as it was.
func (k *Keypair) Load(cert, key string) error {
	c, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return errorx.Decorate(err, "load certificate %s and its key; check cert and key in section [listen]", cert)
	}
	k.current.Store(&c)
	return nil
}

// Server returns the configuration of a server that presents the newest certificate in
// each handshake.
func (k *Keypair) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			if c := k.current.Load(); c != nil {
				return c, nil
			}
			return nil, errorx.IllegalState.New("no TLS certificate is loaded")
		},
	}
}

// Expires returns when the newest certificate expires, and false when none is loaded.
func (k *Keypair) Expires() (time.Time, bool) {
	return Expiry(k.current.Load())
}

// Expiry returns when a certificate expires. It returns false when it is nil or not
// parsed.
func Expiry(c *tls.Certificate) (time.Time, bool) {
	if c == nil || c.Leaf == nil {
		return time.Time{}, false
	}
	return c.Leaf.NotAfter, true
}
