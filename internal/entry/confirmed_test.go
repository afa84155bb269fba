package entry

import (
	"context"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// confirmed is a standing.Standing of a daemon that is alone and confirmed.
type confirmed struct{}

func (confirmed) Name() service.Name                          { return "confirm" }
func (confirmed) Needs() []service.Name                       { return nil }
func (confirmed) Start(context.Context, service.Finder) error { return nil }
func (confirmed) Stop(context.Context) error                  { return nil }
func (confirmed) Confirmed() bool                             { return true }
func (confirmed) Roster() roster.Roster                       { return roster.Roster{} }
func (confirmed) Self() (ids.Daemon, ids.Incarnation)         { return "vm1", 1 }
