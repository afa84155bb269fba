package entry

import (
	"context"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// validLease is a leasecheck.Checker whose read lease is always valid and whose roster
// is empty.
type validLease struct{}

func (validLease) Name() service.Name                          { return "confirm" }
func (validLease) Needs() []service.Name                       { return nil }
func (validLease) Start(context.Context, service.Finder) error { return nil }
func (validLease) Stop(context.Context) error                  { return nil }
func (validLease) Confirmed() bool                             { return true }
func (validLease) Roster() roster.Roster                       { return roster.Roster{} }
func (validLease) Self() (ids.Daemon, ids.Incarnation)         { return "vm1", 1 }
