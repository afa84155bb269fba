// Package keypair holds a certificate for an HTTP server that may be replaced while
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

// Keypair is a certificate with its private key. The zero Keypair holds none and
// refuses every handshake.
type Keypair struct {
	current atomic.Pointer[tls.Certificate]
}

// Load reads the files. After an error the certificate stays as it was.
func (k *Keypair) Load(cert, key string) error {
	c, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return errorx.Decorate(err, "load certificate %s", cert)
	}
	k.current.Store(&c)
	return nil
}

// Server returns the configuration of a server that shows the newest certificate.
func (k *Keypair) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			if c := k.current.Load(); c != nil {
				return c, nil
			}
			return nil, errorx.IllegalState.New("no certificate was loaded")
		},
	}
}

// Expires returns when the certificate ends; it is false when there is none.
func (k *Keypair) Expires() (time.Time, bool) {
	return Expiry(k.current.Load())
}

// Expiry returns when a certificate ends; it is false when there is none.
func Expiry(c *tls.Certificate) (time.Time, bool) {
	if c == nil || c.Leaf == nil {
		return time.Time{}, false
	}
	return c.Leaf.NotAfter, true
}
