// Package confirm tells whether this daemon's state is recent enough to act on.
//
// # Usage
//
//	c, err := kernel.Find[standing.Standing](f, "confirm")
//	if c.Confirmed() { ... }
//
// A confirmation lasts for Period, counted from when the question was sent, on
// this daemon's own monotonic clock; a daemon that was paused finds it expired.
package confirm

import (
	"context"
	"time"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// Period is how long a confirmation lasts.
const Period = 2 * time.Second

// Confirm follows the confirmations of this daemon's state.
type Confirm struct {
	Common *common.Common

	tail      *tail.Tail
	directory *directory.Directory
	gossip    *gossip.Gossip
}

// Name implements service.Service.
func (c *Confirm) Name() service.Name { return "confirm" }

// Needs implements service.Service.
func (c *Confirm) Needs() []service.Name {
	return []service.Name{"timer", "tail", "directory", "gossip"}
}

// Start implements service.Service.
func (c *Confirm) Start(_ context.Context, f service.Finder) error {
	var err error
	if c.tail, err = kernel.Find[*tail.Tail](f, "tail"); err != nil {
		return err
	}
	if c.gossip, err = kernel.Find[*gossip.Gossip](f, "gossip"); err != nil {
		return err
	}
	c.directory, err = kernel.Find[*directory.Directory](f, "directory")
	return err
}

// Stop implements service.Service.
func (c *Confirm) Stop(context.Context) error { return nil }

// Confirmed implements standing.Standing.
func (c *Confirm) Confirmed() bool {
	asked, ok := c.tail.Asked()
	return ok && c.Common.Clock.Now().Sub(asked) < Period
}

// Self implements standing.Standing.
func (c *Confirm) Self() (ids.Daemon, ids.Incarnation) {
	own := c.gossip.Own()
	return own.Daemon, own.Incarnation
}

// Roster implements standing.Standing. It lists the daemons that gossip knows,
// until rosters are records of the log.
func (c *Confirm) Roster() roster.Roster {
	var r roster.Roster
	for _, m := range c.directory.Reachable() {
		if m.Gone || m.Leaving || m.Incarnation == 0 {
			continue
		}
		r.Entries = append(r.Entries, roster.Entry{Daemon: m.Daemon, Incarnation: m.Incarnation, Centre: m.Centre, Region: m.Region})
	}
	return r
}
