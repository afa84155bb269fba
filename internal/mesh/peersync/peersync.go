// Package peersync fetches the configuration, evacuations and the fleet's registrations from other daemons
// while this one can't read the platform's store, or when another daemon has a newer
// configuration. A new process also asks when the store has come back from an older copy.
//
// # Usage
//
//	r.ObserveVersion(version, address) // with each answer of another daemon
package peersync

import (
	"context"
	"math/rand/v2"
	"time"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/config"
	"balsamwharf.example/balsamwharf/internal/mesh/evacuation"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// pullInterval is how often a daemon without the store pulls from another one. A change must
	// be in force within 2 s, and up to two pulls are needed to find it.
	pullInterval = 400 * time.Millisecond
	// outageTolerance is how long the store may be unavailable before others are asked.
	outageTolerance = 600 * time.Millisecond
	// pullTimeout bounds one pull.
	pullTimeout = 500 * time.Millisecond
	// crossCentreEvery is how many pulls it takes until one goes to any data centre; the others
	// stay in the own one.
	crossCentreEvery = 4
	// startPulls is how many daemons a new process asks when the store once came back from an older
	// copy: the store may lack what these know.
	startPulls = 3
	// loadPollInterval is how often a new process checks whether it has read the store.
	loadPollInterval = 20 * time.Millisecond
)

// Syncer pulls from other daemons.
type Syncer struct {
	Common *common.Common

	config     *config.Config
	evacuation *evacuation.Table
	registry   *registry.Registry
	link       *link.Link
	hints      chan ids.Address
}

// Name implements service.Service.
func (s *Syncer) Name() service.Name { return "peersync" }

// Needs implements service.Service.
func (s *Syncer) Needs() []service.Name {
	return []service.Name{"config", "evacuation", "registry", "link"}
}

// Start implements service.Service.
func (s *Syncer) Start(ctx context.Context, f service.Finder) error {
	if err := kernel.Bind(f, "config", &s.config); err != nil {
		return err
	}
	if err := kernel.Bind(f, "evacuation", &s.evacuation); err != nil {
		return err
	}
	if err := kernel.Bind(f, "registry", &s.registry); err != nil {
		return err
	}
	if err := kernel.Bind(f, "link", &s.link); err != nil {
		return err
	}
	s.hints = make(chan ids.Address, 1)
	go s.run(ctx)
	go s.pullAtStart(ctx)
	return nil
}

// Stop implements service.Service.
func (s *Syncer) Stop(context.Context) error { return nil }

// ObserveVersion reports that the daemon at the address applies the version. If that is newer
// than the own one, the configuration is pulled from there in the background.
func (s *Syncer) ObserveVersion(v ids.Version, at ids.Address) {
	if v <= s.config.Version() {
		return
	}
	select {
	case s.hints <- at:
	default:
	}
}

// HandlePull merges the sender's registration and returns what this daemon has for it. In this
// way the fleet learns of a daemon that starts while the store is unavailable.
func (s *Syncer) HandlePull(p link.Pull) link.Pulled {
	if len(p.Record) > 0 {
		s.registry.Merge(p.Record)
	}
	s.evacuation.Merge(p.Evacuations)
	return link.Pulled{Evacuations: s.evacuation.States(), Document: s.config.Document(p.Version), Fleet: s.registry.Encoded()}
}

// pullAtStart asks others, once the store was read, if the store once came back from an older copy.
// Otherwise a new process would apply a configuration, or an own registration, that others know to be
// outdated, until it is written again.
func (s *Syncer) pullAtStart(ctx context.Context) {
	for !s.config.Follower().Loaded() || !s.registry.Loaded() {
		if s.Common.Clock.Sleep(ctx, loadPollInterval) != nil {
			return
		}
	}
	if s.config.Follower().Position().Era == 0 {
		return
	}
	for range startPulls {
		if at, ok := s.pickPeer(false); ok {
			s.pull(ctx, at)
		}
	}
}

func (s *Syncer) run(ctx context.Context) {
	sub := s.Common.Clock.Every(pullInterval)
	defer sub.Stop()
	for n := 1; ; {
		select {
		case at := <-s.hints:
			s.pull(ctx, at)
		case now := <-sub.C:
			if !s.storeUnavailable(now) {
				continue
			}
			if at, ok := s.pickPeer(n%crossCentreEvery == 0); ok {
				s.pull(ctx, at)
			}
			n++
		case <-ctx.Done():
			return
		}
	}
}

func (s *Syncer) storeUnavailable(now units.Instant) bool {
	return max(s.config.StoreOutage(now), s.registry.StoreOutage(now)) > outageTolerance
}

// pickPeer returns a random daemon, of the own data centre if there is one there, unless far is
// set.
func (s *Syncer) pickPeer(far bool) (ids.Address, bool) {
	own := s.registry.Own()
	var near, all []ids.Address
	for _, rec := range s.registry.All() {
		if rec.Address == own.Address {
			continue
		}
		all = append(all, rec.Address)
		if rec.Centre == own.Centre {
			near = append(near, rec.Address)
		}
	}
	if !far && len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return "", false
	}
	return all[rand.IntN(len(all))], true
}

// pull fetches from one daemon. A failure is not logged: the next pull goes to another daemon.
func (s *Syncer) pull(ctx context.Context, at ids.Address) {
	ctx, cancel := s.Common.Clock.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := s.link.Call(ctx, at, link.Pull{Version: s.config.Version(), Record: s.registry.EncodedOwn(), Evacuations: s.evacuation.States()})
	if err != nil {
		return
	}
	pulled, ok := answer.(link.Pulled)
	if !ok {
		return
	}
	s.evacuation.Merge(pulled.Evacuations)
	if len(pulled.Document) > 0 {
		s.config.ApplyNewer(pulled.Document, string(at))
	}
	for _, raw := range pulled.Fleet {
		s.registry.Merge(raw)
	}
}
