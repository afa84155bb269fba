// Package renew reloads certificates when their files change, and warns before they
// expire. It does not issue certificates.
//
// # Usage
//
//	k.Add(&renew.Reloader{Common: c, Certs: certs})
//	r, err := kernel.Find[*renew.Reloader](f, "renew")
//	server.TLSConfig = r.Server() // nil without TLS
//
// After a failure, such as a file that can't be read or a key that does not belong to its
// certificate, the certificates stay as they were, and the next check tries again.
package renew

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"os"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/keypair"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	checkPeriod = 10 * time.Second
	// warnBefore is how long before its expiry warnings about a certificate begin.
	warnBefore = 14 * 24 * time.Hour
	warnPeriod = 24 * time.Hour
)

// Reloader reloads the certificates of one daemon. Common and Certs must be set before
// Start.
type Reloader struct {
	Common *common.Common
	Certs  *certs.Certs

	callers  keypair.Keypair
	fileSets []*fileSet
	cancel   context.CancelFunc
}

// use is what a certificate is for. It is written to log lines.
type use string

// The uses: TLS servers for callers and operators, and connections between daemons.
const (
	callers use = "callers"
	peers   use = "peers"
)

// fileSet is a set of files that are loaded together.
type fileSet struct {
	use   use
	files []string
	load  func() error
	// expiry returns when the loaded certificate expires, and false without one.
	expiry func() (time.Time, bool)
	// digest is that of the files that were loaded last.
	digest [sha256.Size]byte
	// warnedAt is 0 before the first warning.
	warnedAt units.Instant
	// failed is set from a failed load to the next success, so that it is logged once.
	failed bool
}

// Name implements service.Service.
func (r *Reloader) Name() service.Name { return "renew" }

// Needs implements service.Service.
func (r *Reloader) Needs() []service.Name { return []service.Name{"timer"} }

// Start implements service.Service. It loads the certificates and returns an error when
// that fails.
func (r *Reloader) Start(ctx context.Context, _ service.Finder) error {
	r.fileSets = r.listFileSets()
	for _, s := range r.fileSets {
		s.digest, _ = digestOf(s.files)
		if err := s.load(); err != nil {
			return err
		}
		r.warnExpiry(s)
	}
	ctx, r.cancel = context.WithCancel(ctx)
	go r.run(ctx)
	return nil
}

// Stop implements service.Service.
func (r *Reloader) Stop(context.Context) error {
	r.cancel()
	return nil
}

// listFileSets returns the sets of files that the settings name.
func (r *Reloader) listFileSets() []*fileSet {
	var sets []*fileSet
	listen, trust := r.Common.Settings.Listen, r.Common.Settings.Trust
	if listen.Cert != "" {
		sets = append(sets, &fileSet{
			use:    callers,
			files:  []string{listen.Cert, listen.Key},
			load:   func() error { return r.callers.Load(listen.Cert, listen.Key) },
			expiry: r.callers.Expires,
		})
	}
	if trust.Cert != "" {
		sets = append(sets, &fileSet{
			use:    peers,
			files:  []string{trust.Authority, trust.Cert, trust.Key},
			load:   func() error { return r.Certs.Reload(trust) },
			expiry: func() (time.Time, bool) { return keypair.Expiry(r.Certs.Own()) },
		})
	}
	return sets
}

// Server returns the TLS configuration of servers for callers and operators; it is
// nil when the settings name no certificate.
func (r *Reloader) Server() *tls.Config {
	if r.Common.Settings.Listen.Cert == "" {
		return nil
	}
	return r.callers.Server()
}

// Expires returns when the certificate for callers expires, and false without TLS.
func (r *Reloader) Expires() (time.Time, bool) { return r.callers.Expires() }

// run checks the files every checkPeriod until the context ends.
func (r *Reloader) run(ctx context.Context) {
	ticks := r.Common.Clock.Every(checkPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			r.ReloadChanged()
		case <-ctx.Done():
			return
		}
	}
}

// ReloadChanged reloads the certificates whose files have changed, and warns of those
// that expire soon. It is not safe for concurrent use.
func (r *Reloader) ReloadChanged() {
	for _, s := range r.fileSets {
		r.reloadIfChanged(s)
		r.warnExpiry(s)
	}
}

// reloadIfChanged loads the files when their content differs from that loaded last, and
// logs the result.
func (r *Reloader) reloadIfChanged(s *fileSet) {
	digest, err := digestOf(s.files)
	if err == nil && digest == s.digest {
		s.failed = false
		return
	}
	if err == nil {
		err = s.load()
	}
	if err != nil {
		if !s.failed {
			r.Common.Warn(event.CertificateInvalid, zap.String("use", string(s.use)), zap.Error(err))
		}
		s.failed = true
		return
	}
	s.digest, s.failed = digest, false
	expires, _ := s.expiry()
	r.Common.Info(event.CertificateRenewed, zap.String("use", string(s.use)), zap.Time("expires", expires))
}

// warnExpiry logs once a day that a certificate expires soon or has expired.
func (r *Reloader) warnExpiry(s *fileSet) {
	expires, ok := s.expiry()
	if !ok || expires.Sub(r.Common.Clock.Wall()) > warnBefore {
		s.warnedAt = 0
		return
	}
	now := r.Common.Clock.Now()
	if s.warnedAt != 0 && now.Sub(s.warnedAt) < warnPeriod {
		return
	}
	s.warnedAt = now
	r.Common.Warn(event.CertificateExpiring, zap.String("use", string(s.use)), zap.Time("expires", expires))
}

// digestOf returns a digest of the content of the files.
func digestOf(files []string) ([sha256.Size]byte, error) {
	hash := sha256.New()
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return [sha256.Size]byte{}, err
		}
		sum := sha256.Sum256(content)
		hash.Write(sum[:])
	}
	return [sha256.Size]byte(hash.Sum(nil)), nil
}
