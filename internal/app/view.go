package app

import (
	"context"

	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/force"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/invariant"
	"balsamwharf.example/balsamwharf/internal/leasecheck"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/pkg/kernel"
)

// View calls read with the shared settings as this daemon has applied them. It does
// nothing before Start.
func (a *App) View(read func(*replay.State)) {
	if t, err := kernel.Find[*tail.Tail](&a.kernel, "tail"); err == nil {
		t.View(read)
	}
}

// WaitApplied blocks until the daemon has applied the record at the offset or ctx ends.
func (a *App) WaitApplied(ctx context.Context, at ids.Offset) error {
	t, err := kernel.Find[*tail.Tail](&a.kernel, "tail")
	if err != nil {
		return err
	}
	return t.Wait(ctx, at)
}

// WaitInForce blocks until every record that the daemon has applied so far is known to
// be in force or ctx ends.
func (a *App) WaitInForce(ctx context.Context) error {
	t, err := kernel.Find[*tail.Tail](&a.kernel, "tail")
	if err != nil {
		return err
	}
	f, err := kernel.Find[*force.Force](&a.kernel, "force")
	if err != nil {
		return err
	}
	return f.Wait(ctx, t.Offset())
}

// TargetCount returns the number of targets that this daemon can select for the service.
func (a *App) TargetCount(id ids.Service) int {
	d, err := kernel.Find[*directory.Directory](&a.kernel, "directory")
	if err != nil {
		return 0
	}
	return len(d.Targets(id))
}

// Invariant returns the daemon's assertions with their counts. Call it only after Start.
func (a *App) Invariant() *invariant.Invariant { return a.common.Invariant }

// LocalMember returns the description of itself that the daemon sends to other daemons.
func (a *App) LocalMember() member.Member {
	g, err := kernel.Find[*gossip.Gossip](&a.kernel, "gossip")
	if err != nil {
		return member.Member{}
	}
	return g.LocalMember()
}

// Roster returns the newest roster in force that this daemon knows.
func (a *App) Roster() roster.Roster {
	lease, err := kernel.Find[leasecheck.Checker](&a.kernel, "confirm")
	if err != nil {
		return roster.Roster{}
	}
	return lease.Roster()
}
