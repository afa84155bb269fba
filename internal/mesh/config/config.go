// Package config holds the configuration that this daemon applies.
//
// # Usage
//
//	p, ok := c.Policy()
//	c.ApplyNewer(document, "store")
//
// Documents come from the platform's store and, while that is unavailable, from other daemons.
// A daemon never goes back to an older version.
package config

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/evacuation"
	"balsamwharf.example/balsamwharf/internal/mesh/follow"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// Keys of the topic keyed.Settings.
const (
	// Key is that of the configuration document.
	Key = "config"
	// EvacuationPrefix is followed by the name of a data centre that is evacuated while there is a
	// record of the key.
	EvacuationPrefix = "evacuate/"
)

// Decoder decodes a configuration document.
type Decoder func(document []byte) (*policy.Policy, error)

// Config is the configuration in force at this daemon.
type Config struct {
	Common *common.Common
	Store  keyed.Store
	Read   Decoder

	evacuation *evacuation.Table
	follower   follow.Follower
	mu         sync.Mutex
	document   []byte
	policy     atomic.Pointer[policy.Policy]
	appliedAt  atomic.Int64
}

// Name implements service.Service.
func (c *Config) Name() service.Name { return "config" }

// Needs implements service.Service.
func (c *Config) Needs() []service.Name { return []service.Name{"timer", "evacuation"} }

// Start implements service.Service.
func (c *Config) Start(ctx context.Context, f service.Finder) error {
	if err := kernel.Bind(f, "evacuation", &c.evacuation); err != nil {
		return err
	}
	c.follower = follow.Follower{Common: c.Common, Store: c.Store, Topic: keyed.Settings, Apply: c.apply, Listed: c.list}
	go c.follower.Run(ctx)
	return c.exportMetrics()
}

func (c *Config) exportMetrics() error {
	r, now := c.Common.Metrics, c.Common.Clock.Now
	return errors.Join(
		metric.Version.Follow(r, func() int64 { return int64(c.Version()) }),
		metric.VersionAge.Follow(r, func() int64 { return c.Age(now()).Milliseconds() }),
		metric.StoreOutage.Follow(r, func() int64 { return c.StoreOutage(now()).Milliseconds() }),
	)
}

// Stop implements service.Service.
func (c *Config) Stop(context.Context) error { return nil }

// Follower returns what reads the configuration.
func (c *Config) Follower() *follow.Follower { return &c.follower }

// StoreOutage returns for how long the store has not answered, or zero.
func (c *Config) StoreOutage(now units.Instant) time.Duration { return c.follower.Outage(now) }

// Policy returns the configuration; it is false until one has been applied.
func (c *Config) Policy() (*policy.Policy, bool) {
	p := c.policy.Load()
	return p, p != nil
}

// Version returns the version of the configuration, or zero if there is none.
func (c *Config) Version() ids.Version {
	if p := c.policy.Load(); p != nil {
		return p.Version
	}
	return 0
}

// Age returns how long ago the configuration was applied.
func (c *Config) Age(now units.Instant) time.Duration {
	return now.Sub(units.Instant(c.appliedAt.Load()))
}

// Document returns the configuration as it was published, or nil if it is not newer than the
// version.
func (c *Config) Document(than ids.Version) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Version() <= than {
		return nil
	}
	return c.document
}

func (c *Config) apply(r keyed.Record, at keyed.Position) {
	if centre, ok := strings.CutPrefix(r.Key, EvacuationPrefix); ok {
		c.evacuation.Record(ids.Centre(centre), len(r.Value) > 0, at)
		return
	}
	if r.Key == Key && len(r.Value) > 0 {
		c.ApplyNewer(r.Value, "store")
	}
}

// list applies which evacuations there are among all keys of the topic.
func (c *Config) list(keys map[string]bool, at keyed.Position) {
	var evacuated []ids.Centre
	for key, present := range keys {
		if centre, ok := strings.CutPrefix(key, EvacuationPrefix); ok && present {
			evacuated = append(evacuated, ids.Centre(centre))
		}
	}
	c.evacuation.List(evacuated, at)
}

// ApplyNewer decodes a configuration document and applies it if its version is newer. The
// origin, from, is logged.
func (c *Config) ApplyNewer(document []byte, from string) {
	p, err := c.Read(document)
	if err != nil {
		c.Common.Warn(event.PolicyInvalid, zap.String("from", from), common.Cause(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.Version()
	if p.Version <= before {
		return
	}
	c.document = document
	c.policy.Store(p)
	c.appliedAt.Store(int64(c.Common.Clock.Now()))
	c.Common.Info(event.PolicyApplied, zap.String("from", from),
		zap.Uint64("version", uint64(p.Version)), zap.Uint64("before", uint64(before)), zap.Int("routes", p.Routes()))
}
