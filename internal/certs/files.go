package certs

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
)

const (
	certBlock = "CERTIFICATE"
	keyBlock  = "PRIVATE KEY"

	certSuffix = ".crt"
	keySuffix  = ".key"

	certMode = 0o644
	keyMode  = 0o600
)

// authorityName is the name of the authority's files, without the suffix.
const authorityName = "authority"

// Save writes the authority's certificate and key into the directory. It returns an
// error when one of the files exists, so it never overwrites an authority.
func (i *Issuer) Save(dir string) error {
	return save(dir, authorityName, i.cert.Raw, i.key)
}

// LoadIssuer reads the certificate and the key that Issuer.Save wrote into the directory.
func LoadIssuer(dir string) (*Issuer, error) {
	der, err := readBlock(filepath.Join(dir, authorityName+certSuffix), certBlock)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errorx.Decorate(err, "parse certificate of the authority")
	}
	der, err = readBlock(filepath.Join(dir, authorityName+keySuffix), keyBlock)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, errorx.Decorate(err, "parse key of the authority")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errorx.IllegalFormat.New("key of the authority is not an ECDSA key")
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &Issuer{cert: cert, key: key, pool: pool}, nil
}

// Save writes the certificate and key of the daemon into the directory and replaces
// earlier ones.
func (c *Certs) Save(dir string, id ids.Daemon) error {
	key, ok := c.Own().PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return errorx.IllegalState.New("key of %s is not an ECDSA key", id)
	}
	for _, suffix := range []string{certSuffix, keySuffix} {
		if err := os.Remove(filepath.Join(dir, string(id)+suffix)); err != nil && !os.IsNotExist(err) {
			return errorx.Decorate(err, "remove the previous certificate or key of %s", id)
		}
	}
	return save(dir, string(id), c.Own().Certificate[0], key)
}

func save(dir, name string, cert []byte, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errorx.Decorate(err, "encode key of %s", name)
	}
	if err := writeBlock(filepath.Join(dir, name+keySuffix), keyBlock, der, keyMode); err != nil {
		return err
	}
	return writeBlock(filepath.Join(dir, name+certSuffix), certBlock, cert, certMode)
}

func readBlock(file, kind string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errorx.Decorate(err, "read authority")
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != kind {
		return nil, errorx.IllegalFormat.New("%s contains no PEM block of type %s", file, kind)
	}
	return block.Bytes, nil
}

// writeBlock writes a PEM block to a new file. It returns an error when the file exists.
func writeBlock(file, kind string, der []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errorx.Decorate(err, "write %s to a new file; an existing file is not overwritten", kind)
	}
	if err := pem.Encode(f, &pem.Block{Type: kind, Bytes: der}); err != nil {
		_ = f.Close()
		return errorx.Decorate(err, "write %s", file)
	}
	return f.Close()
}
