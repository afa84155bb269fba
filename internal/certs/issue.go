package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// serialBits is the size of random certificate serial numbers.
const serialBits = 120

// Issuer is a certificate authority that signs daemon certificates for tests, the demo
// and small installations.
type Issuer struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

// NewIssuer creates an authority with a new key and a self-signed certificate that
// expires the given time after now.
func NewIssuer(now time.Time, valid time.Duration) (*Issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errorx.Decorate(err, "generate ECDSA key")
	}
	template, err := newTemplate("balsam authority", now, valid)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errorx.Decorate(err, "sign certificate of the authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errorx.Decorate(err, "parse certificate of the authority")
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &Issuer{cert: cert, key: key, pool: pool}, nil
}

// Issue creates a key and a certificate for one daemon, which expires the given time
// after now.
func (i *Issuer) Issue(id ids.Daemon, now time.Time, valid time.Duration) (*Certs, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errorx.Decorate(err, "generate ECDSA key")
	}
	template, err := newTemplate(string(id), now, valid)
	if err != nil {
		return nil, err
	}
	template.DNSNames = []string{string(id)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, i.cert, &key.PublicKey, i.key)
	if err != nil {
		return nil, errorx.Decorate(err, "sign certificate of %s", id)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errorx.Decorate(err, "parse certificate of %s", id)
	}
	own := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}
	c := &Certs{}
	c.current.Store(newTrusted(own, i.pool))
	return c, nil
}

// newTemplate returns what the certificates of the authority and of daemons share. They
// are valid from a minute before now, which allows for clock skew.
func newTemplate(name string, now time.Time, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errorx.Decorate(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(valid),
	}, nil
}
