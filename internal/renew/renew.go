// Package renew reads certificates again when their files change, and warns before
// they expire.
//
// # Usage
//
//	k.Add(&renew.Renew{Common: c, Certs: certs})
//	r, err := kernel.Find[*renew.Renew](f, "renew")
//	server.TLSConfig = r.Server() // nil without TLS
//
// A file that can't be read, or a key that does not fit, leaves the certificates as
// they were; the next look tries again.
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
	lookPeriod = 10 * time.Second
	// warnBefore is how long before its end a certificate raises warnings.
	warnBefore = 14 * 24 * time.Hour
	warnPeriod = 24 * time.Hour
)

// Reloader looks after the certificates of one daemon.
type Reloader struct {
	Common *common.Common
	Certs  *certs.Certs

	callers keypair.Keypair
	watches []*watch
	cancel  context.CancelFunc
}

// use is what a certificate is for.
type use string

// The uses.
const (
	callers use = "callers"
	peers   use = "peers"
)

// watch is a set of files that are loaded together.
type watch struct {
	use    use
	files  []string
	load   func() error
	end    func() (time.Time, bool)
	sum    [sha256.Size]byte
	warned units.Instant
	failed bool
}

// Name implements service.Service.
func (r *Reloader) Name() service.Name { return "renew" }

// Needs implements service.Service.
func (r *Reloader) Needs() []service.Name { return []service.Name{"timer"} }

// Start implements service.Service.
func (r *Reloader) Start(ctx context.Context, _ service.Finder) error {
	r.watches = r.list()
	for _, w := range r.watches {
		w.sum, _ = sumOf(w.files)
		if err := w.load(); err != nil {
			return err
		}
		r.warn(w)
	}
	ctx, r.cancel = context.WithCancel(ctx)
	go r.watch(ctx)
	return nil
}

// Stop implements service.Service.
func (r *Reloader) Stop(context.Context) error {
	r.cancel()
	return nil
}

// list returns the sets of files that the settings name.
func (r *Reloader) list() []*watch {
	var list []*watch
	listen, trust := r.Common.Settings.Listen, r.Common.Settings.Trust
	if listen.Cert != "" {
		list = append(list, &watch{
			use:   callers,
			files: []string{listen.Cert, listen.Key},
			load:  func() error { return r.callers.Load(listen.Cert, listen.Key) },
			end:   r.callers.Expires,
		})
	}
	if trust.Cert != "" {
		list = append(list, &watch{
			use:   peers,
			files: []string{trust.Authority, trust.Cert, trust.Key},
			load:  func() error { return r.Certs.Reload(trust) },
			end:   func() (time.Time, bool) { return keypair.Expiry(r.Certs.Own()) },
		})
	}
	return list
}

// Server returns the TLS configuration of servers for callers and operators; it is
// nil when the settings name no certificate.
func (r *Reloader) Server() *tls.Config {
	if r.Common.Settings.Listen.Cert == "" {
		return nil
	}
	return r.callers.Server()
}

// Expires returns when the certificate for callers ends; it is false without TLS.
func (r *Reloader) Expires() (time.Time, bool) { return r.callers.Expires() }

// watch is the task that looks at the files.
func (r *Reloader) watch(ctx context.Context) {
	ticks := r.Common.Clock.Every(lookPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			r.Look()
		case <-ctx.Done():
			return
		}
	}
}

// Look reads the certificates whose files have changed.
func (r *Reloader) Look() {
	for _, w := range r.watches {
		r.look(w)
		r.warn(w)
	}
}

func (r *Reloader) look(w *watch) {
	sum, err := sumOf(w.files)
	if err == nil && sum == w.sum {
		w.failed = false
		return
	}
	if err == nil {
		err = w.load()
	}
	if err != nil {
		if !w.failed {
			r.Common.Warn(event.CertificateUnread, zap.String("use", string(w.use)), zap.Error(err))
		}
		w.failed = true
		return
	}
	w.sum, w.failed = sum, false
	end, _ := w.end()
	r.Common.Info(event.CertificateRenewed, zap.String("use", string(w.use)), zap.Time("expires", end))
}

// warn tells once a day of a certificate that ends soon.
func (r *Reloader) warn(w *watch) {
	end, ok := w.end()
	if !ok || end.Sub(r.Common.Clock.Wall()) > warnBefore {
		w.warned = 0
		return
	}
	now := r.Common.Clock.Now()
	if w.warned != 0 && now.Sub(w.warned) < warnPeriod {
		return
	}
	w.warned = now
	r.Common.Warn(event.CertificateEnds, zap.String("use", string(w.use)), zap.Time("expires", end))
}

// sumOf returns a hash over the content of files.
func sumOf(files []string) ([sha256.Size]byte, error) {
	hash := sha256.New()
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return [sha256.Size]byte{}, err
		}
		one := sha256.Sum256(text)
		hash.Write(one[:])
	}
	return [sha256.Size]byte(hash.Sum(nil)), nil
}
