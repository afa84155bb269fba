// Package feed spreads the records of the platform's store within a data centre, so that only a
// few daemons there read the store.
//
// # Usage
//
//	k.Add(&feed.Feed{Common: c})
//	own := f.Progress()      // goes with each load report to the daemons of the data centre
//	f.Observe(from, topics)  // with each report that arrives
//	answer := f.HandleFetch(m)
//
// The progress says how far a daemon has read each topic, and whether it reads the store itself.
// Who learns that another daemon is ahead fetches the records from there. Package readers decides
// who reads. Bytes within a data centre cost next to nothing; calls to the store do.
package feed

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/config"
	"balsamwharf.example/balsamwharf/internal/mesh/follow"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/progress"
	"balsamwharf.example/balsamwharf/internal/mesh/readers"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// coldTime is how long a daemon that knows no other one of its data centre waits before it
	// reads on: when a fleet starts for the first time, its daemons register within that time.
	coldTime = 2 * time.Second
	// electInterval is how often a daemon decides whether it reads.
	electInterval = 100 * time.Millisecond
	// fetchTimeout bounds one fetch within a data centre. After a failure the next report of any
	// daemon that is ahead leads to another fetch.
	fetchTimeout = 400 * time.Millisecond
	// maxBehind is for how long a daemon tries to fetch what it knows to exist before it reads the
	// store itself. A configuration must be in force within 2 s.
	maxBehind = time.Second
	// freeBytes is the size of records that are sent to any number of daemons at once. Larger
	// ones, such as a configuration, are sent at largeRate: a daemon's link carries 1.2 MB a
	// second or more, and those who got the records pass them on.
	freeBytes            = 4 << 10
	largeRate units.Rate = 600e3
	// minBusyPause, and up to twice that, is the pause before a busy daemon is asked again.
	minBusyPause = 20 * time.Millisecond
)

// caller sends messages to other daemons.
type caller interface {
	Call(ctx context.Context, to ids.Address, m link.Message) (link.Message, error)
}

// Feed connects the followers of this daemon to those of its data centre.
type Feed struct {
	Common *common.Common
	// Link replaces the service link if it is set.
	Link caller

	config   *config.Config
	registry *registry.Registry
	topics   map[keyed.Topic]*topic
	// startedAt is when the service was started.
	startedAt units.Instant

	// near holds the daemons of the own data centre while the registry has this membership. It
	// belongs to the task that elects.
	near       []ids.Address
	membership uint64

	// busyUntil is until when no other large answer is sent.
	busyUntil atomic.Int64
}

// topic is one followed topic.
type topic struct {
	name     keyed.Topic
	follower *follow.Follower
	// wake tells the task that fetches that another daemon is ahead.
	wake chan struct{}

	mu       sync.Mutex
	election readers.Election
	reads    bool
	// behindSince is since when another daemon is known to be ahead.
	behindSince units.Instant
	behind      bool
	// ahead holds the daemons that are ahead, with the positions that they have read to.
	ahead map[ids.Address]keyed.Position
}

// Name implements service.Service.
func (f *Feed) Name() service.Name { return "feed" }

// Needs implements service.Service.
func (f *Feed) Needs() []service.Name { return []service.Name{"timer", "config", "registry", "link"} }

// Start implements service.Service.
func (f *Feed) Start(ctx context.Context, finder service.Finder) error {
	if err := errors.Join(kernel.Bind(finder, "config", &f.config), kernel.Bind(finder, "registry", &f.registry)); err != nil {
		return err
	}
	if f.Link == nil {
		var l *link.Link
		if err := kernel.Bind(finder, "link", &l); err != nil {
			return err
		}
		f.Link = l
	}
	f.startedAt = f.Common.Clock.Now()
	f.topics = map[keyed.Topic]*topic{}
	f.add(keyed.Settings, f.config.Follower())
	f.add(keyed.Fleet, f.registry.Follower())
	for _, t := range f.topics {
		// Nothing is read beyond the first load until it is decided who reads.
		t.follower.LeaveToOthers()
	}
	go f.elect(ctx)
	for _, t := range f.topics {
		go f.fetchLoop(ctx, t)
	}
	return metric.ReadingTopics.Follow(f.Common.Metrics, f.countReading)
}

// Stop implements service.Service.
func (f *Feed) Stop(context.Context) error { return nil }

func (f *Feed) add(name keyed.Topic, follower *follow.Follower) {
	f.topics[name] = &topic{name: name, follower: follower, wake: make(chan struct{}, 1), reads: true}
}

func (f *Feed) countReading() int64 {
	n := int64(0)
	for _, t := range f.topics {
		t.mu.Lock()
		if t.reads {
			n++
		}
		t.mu.Unlock()
	}
	return n
}

// Progress returns what this daemon says of each topic.
func (f *Feed) Progress() map[keyed.Topic]progress.Progress {
	now, stopping := f.Common.Clock.Now(), f.registry.Own().Stopping
	all := make(map[keyed.Topic]progress.Progress, len(f.topics))
	for name, t := range f.topics {
		all[name] = progress.Of(t.follower.Position(), !stopping && t.follower.Current(now))
	}
	return all
}

// Observe handles what another daemon says. Daemons of other data centres are ignored.
func (f *Feed) Observe(from ids.Address, topics map[keyed.Topic]progress.Progress) {
	if len(topics) == 0 || !f.isNear(from) {
		return
	}
	now := f.Common.Clock.Now()
	for name, p := range topics {
		t, ok := f.topics[name]
		if !ok {
			continue
		}
		if !t.observe(from, p, now) {
			continue
		}
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// observe records the progress of another daemon and reports whether it is ahead.
func (t *topic) observe(from ids.Address, p progress.Progress, now units.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Reads {
		t.election.Claim(from, now)
	} else {
		t.election.Withdraw(from)
	}
	own := t.follower.Position()
	if p.Era > own.Era {
		t.follower.ExpectEra(p.Era)
		return false
	}
	if !own.Before(p.Position()) {
		return false
	}
	if t.ahead == nil {
		t.ahead = map[ids.Address]keyed.Position{}
	}
	t.ahead[from] = p.Position()
	return true
}

func (f *Feed) isNear(a ids.Address) bool {
	centre, ok := f.registry.CentreOf(a)
	return ok && centre == f.Common.Mesh.Identity.Centre
}

// elect decides again and again which topics this daemon reads.
func (f *Feed) elect(ctx context.Context) {
	sub := f.Common.Clock.Every(electInterval)
	defer sub.Stop()
	for {
		select {
		case now := <-sub.C:
			members := f.members()
			for _, t := range f.topics {
				f.decide(t, members, now)
			}
		case <-ctx.Done():
			return
		}
	}
}

// members returns the daemons of the own data centre.
func (f *Feed) members() []ids.Address {
	// The number is read before the list, so that a list is never kept under a newer number.
	membership := f.registry.Membership()
	if f.near != nil && membership == f.membership {
		return f.near
	}
	f.near, f.membership = nil, membership
	for _, reg := range f.registry.All() {
		if reg.Centre == f.Common.Mesh.Identity.Centre {
			f.near = append(f.near, reg.Address)
		}
	}
	return f.near
}

func (f *Feed) decide(t *topic, members []ids.Address, now units.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.follower.Loaded() || (len(members) <= 1 && now.Sub(f.startedAt) < coldTime) {
		return
	}
	reads := t.election.Reads(f.Common.Mesh.Sockets.AdvertisedAddress(), members, now)
	if reads {
		t.follower.ReadStore()
	} else {
		t.follower.LeaveToOthers()
	}
	if reads != t.reads {
		t.reads = reads
		f.Common.Info(event.ReadingChanged, zap.String("topic", string(t.name)), zap.Bool("reads", reads))
	}
}

// fetchLoop fetches the records of one topic from daemons that are ahead.
func (f *Feed) fetchLoop(ctx context.Context, t *topic) {
	for {
		select {
		case <-t.wake:
			for from, ok := t.pickAhead(f.Common.Clock.Now()); ok && ctx.Err() == nil; from, ok = t.pickAhead(f.Common.Clock.Now()) {
				f.fetch(ctx, t, from)
			}
		case <-ctx.Done():
			return
		}
	}
}

// pickAhead returns a random daemon that is ahead, or false if there is none. A daemon that has
// been behind for too long reads the store once instead.
func (t *topic) pickAhead(now units.Instant) (ids.Address, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.follower.Position()
	maps.DeleteFunc(t.ahead, func(_ ids.Address, to keyed.Position) bool { return !own.Before(to) })
	if len(t.ahead) == 0 {
		t.behind = false
		return "", false
	}
	if !t.behind {
		t.behind, t.behindSince = true, now
	}
	if now.Sub(t.behindSince) > maxBehind {
		t.behind = false
		clear(t.ahead)
		t.follower.CatchUp()
		return "", false
	}
	from := slices.Collect(maps.Keys(t.ahead))
	return from[rand.IntN(len(from))], true
}

// forget drops a daemon that could not deliver, until its next report.
func (t *topic) forget(from ids.Address) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ahead, from)
}

func (f *Feed) fetch(ctx context.Context, t *topic, from ids.Address) {
	ctx, cancel := f.Common.Clock.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	first := t.follower.Position()
	answer, err := f.Link.Call(ctx, from, link.Fetch{Topic: t.name, From: first.Next, Era: first.Era})
	fetched, ok := answer.(link.Fetched)
	switch {
	case err != nil || !ok:
		f.count(t, "failed")
		t.forget(from)
	case fetched.Busy:
		f.count(t, "busy")
		_ = f.Common.Clock.Sleep(ctx, minBusyPause+rand.N(minBusyPause))
	case !fetched.Known:
		f.count(t, "unknown")
		t.forget(from)
		t.follower.CatchUp()
	default:
		f.count(t, "ok")
		t.follower.Deliver(first, fetched.Records)
		t.forget(from)
	}
}

func (f *Feed) count(t *topic, result string) {
	metric.Fetches.With("topic", string(t.name), "result", result).Counter(f.Common.Metrics).Inc(1)
}

// HandleFetch answers another daemon.
func (f *Feed) HandleFetch(m link.Fetch) link.Fetched {
	t, ok := f.topics[m.Topic]
	if !ok {
		return link.Fetched{}
	}
	records, ok := t.follower.Since(keyed.Position{Era: m.Era, Next: m.From})
	if n := sizeOf(records); n > freeBytes && !f.startLarge(n) {
		return link.Fetched{Busy: true}
	}
	return link.Fetched{Known: ok, Records: records}
}

// startLarge reports whether n bytes may be sent now.
func (f *Feed) startLarge(n int) bool {
	now := f.Common.Clock.Now()
	until := f.busyUntil.Load()
	if now.Before(units.Instant(until)) {
		return false
	}
	return f.busyUntil.CompareAndSwap(until, int64(now.Add(largeRate.Time(units.Tokens(n)*units.Token))))
}

func sizeOf(records []keyed.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}
