// Package force tracks which records of the settings stream are in force: no daemon
// acts any more on a state without them.
//
// # Usage
//
//	f, err := kernel.Find[*force.Force](finder, "force")
//	err = f.Wait(ctx, offset) // published, then in force
//
// Package rosterchain decides; this package queries the witnesses and keeps time.
package force

import (
	"context"
	"errors"
	"sync"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/peer"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/rosterchain"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// Force tracks the newest offset in force.
type Force struct {
	Common *common.Common

	tail      *tail.Tail
	directory *directory.Directory
	gossip    *gossip.Gossip
	peers     peer.Caller

	mu      sync.Mutex
	chain   rosterchain.Chain
	changed chan struct{}
}

// Name implements service.Service.
func (f *Force) Name() service.Name { return "force" }

// Needs implements service.Service.
func (f *Force) Needs() []service.Name {
	return []service.Name{"timer", "tail", "directory", "gossip", "dial"}
}

// Start implements service.Service.
func (f *Force) Start(ctx context.Context, finder service.Finder) error {
	if err := errors.Join(
		kernel.Bind(finder, "tail", &f.tail),
		kernel.Bind(finder, "directory", &f.directory),
		kernel.Bind(finder, "gossip", &f.gossip),
		kernel.Bind(finder, "dial", &f.peers),
	); err != nil {
		return err
	}
	go f.run(ctx)
	return nil
}

// Stop implements service.Service. The task ends with the kernel's context.
func (f *Force) Stop(context.Context) error { return nil }

// Newest returns the newest offset known to be in force.
func (f *Force) Newest() ids.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chain.InForce()
}

// InForce reports whether the record at the offset is known to be in force.
func (f *Force) InForce(at ids.Offset) bool { return f.Newest() >= at }

// Wait blocks until the record at the offset is known to be in force or ctx ends.
func (f *Force) Wait(ctx context.Context, at ids.Offset) error {
	for {
		f.mu.Lock()
		reached, changed := f.chain.InForce() >= at, f.changedChannel()
		f.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Observe updates what is known to be in force from the answer of another daemon.
func (f *Force) Observe(from ids.Daemon, c message.LeaseStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chain.RecordRead(from, c.Incarnation, c.Seen)
	f.chain.RecordIncarnation(from, c.Incarnation)
	if c.Retired {
		f.chain.RecordRetired(from, c.Incarnation)
	}
	f.update(func() { f.chain.RaiseInForce(c.InForce) })
}

// Roster returns the newest roster in force, with the newer ones that this daemon
// has read as its Next.
func (f *Force) Roster() roster.Roster {
	newest := f.Newest()
	var rosters []roster.Roster
	f.tail.View(func(s *replay.State) { rosters, _ = s.Rosters() })
	for i := len(rosters) - 1; i >= 0; i-- {
		if rosters[i].Version <= newest {
			r := rosters[i]
			r.Next = rosters[i+1:]
			return r
		}
	}
	return roster.Roster{}
}

// advance updates what is in force from the state that this daemon has read and the
// members of the directory. It reports whether every record read is in force. The
// members are read only while a record is not.
func (f *Force) advance() (done bool) {
	var rosters []roster.Roster
	var since, position, inForce ids.Offset
	f.tail.View(func(s *replay.State) {
		rosters, since = s.Rosters()
		position, inForce = s.Offset(), s.KnownInForce()
	})
	if f.InForce(position) {
		return true
	}
	own := f.gossip.LocalMember()
	members := f.directory.Members()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chain.SetRosters(rosters, since, position)
	f.chain.RecordRead(own.Daemon, own.Incarnation, position)
	for _, m := range members {
		f.chain.RecordIncarnation(m.Daemon, m.Incarnation)
	}
	f.update(func() {
		f.chain.RaiseInForce(inForce)
		f.chain.Advance(f.Common.Clock.Now())
	})
	return f.chain.InForce() >= position
}

// update runs a step of the chain and wakes the waiters if more is in force. The
// caller holds the lock.
func (f *Force) update(advance func()) {
	before := f.chain.InForce()
	advance()
	after := f.chain.InForce()
	f.Common.Invariant.Check(after >= before, "a record in force reverted")
	if after > before {
		close(f.changedChannel())
		f.changed = nil
	}
}

// changedChannel returns the channel that is closed when more is in force. The
// caller holds the lock.
func (f *Force) changedChannel() chan struct{} {
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}
