package gatekeeper_test

import (
	"context"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// confirmedLease is a leasecheck.Checker of a daemon without peers that always holds its
// read lease.
type confirmedLease struct{}

func (confirmedLease) Name() service.Name                          { return "confirm" }
func (confirmedLease) Needs() []service.Name                       { return nil }
func (confirmedLease) Start(context.Context, service.Finder) error { return nil }
func (confirmedLease) Stop(context.Context) error                  { return nil }
func (confirmedLease) Confirmed() bool                             { return true }
func (confirmedLease) Roster() roster.Roster                       { return roster.Roster{} }
func (confirmedLease) Self() (ids.Daemon, ids.Incarnation)         { return "vm1", 1 }
