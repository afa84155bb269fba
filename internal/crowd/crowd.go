// Package crowd runs one daemon's control services among many stand-in members,
// to measure what the size of the fleet costs a daemon at rest.
//
// # Usage
//
//	cost, err := crowd.Run(ctx, crowd.Plan{Members: 2000, Targets: 13, Centres: 13, Services: 690, For: 10 * time.Second})
//
// The services are the real ones over a stand-in for the network, which answers
// as a healthy peer does and sends what healthy peers send. Each message is
// encoded, so the costs hold the encoding but not QUIC.
package crowd

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/confirm"
	"balsamwharf.example/balsamwharf/internal/digest"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/force"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/lender"
	"balsamwharf.example/balsamwharf/internal/limit"
	"balsamwharf.example/balsamwharf/internal/logstub"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/permit"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/relay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/rosterplan"
	"balsamwharf.example/balsamwharf/internal/rosterproposer"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/internal/usage"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// warmUp lets the daemon read the roster and open its conversations.
	warmUp      = 4 * time.Second
	stopTimeout = time.Second
	// changesPerDay is how often a member's description changes: 7,100 restarts a
	// day among 2,000 daemons with five descriptions each.
	changesPerDay = 7100.0 / 2000 * 5
	day           = 24 * time.Hour
)

// Plan says what to run.
type Plan struct {
	Members  int
	Targets  int
	Centres  int
	Services int
	For      time.Duration
}

// Cost is what one daemon spends in a second.
type Cost struct {
	Processor time.Duration
	Bytes     float64
	Messages  float64
}

// crowd is a running plan.
type crowd struct {
	plan      Plan
	common    *common.Common
	log       logstub.Stub
	directory *directory.Directory
	gossip    *gossip.Gossip
	kernel    kernel.Kernel
	mu        sync.Mutex
	members   []member.Member
	sum       digest.Digest
	at        atomic.Uint64
	bytes     atomic.Int64
	messages  atomic.Int64
}

// Run measures one daemon for the plan's time.
func Run(ctx context.Context, p Plan) (Cost, error) {
	c := &crowd{plan: p}
	if err := c.start(ctx); err != nil {
		return Cost{}, err
	}
	defer func() { _ = c.kernel.Stop(stopTimeout) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.send(ctx)
	go c.change(ctx)
	_ = c.common.Clock.Sleep(ctx, warmUp)
	before := usage.Now()
	bytes, messages := c.bytes.Load(), c.messages.Load()
	_ = c.common.Clock.Sleep(ctx, p.For)
	spent := usage.Now().Since(before)
	seconds := p.For.Seconds()
	return Cost{
		Processor: time.Duration(float64(spent) / seconds),
		Bytes:     float64(c.bytes.Load()-bytes) / seconds,
		Messages:  float64(c.messages.Load()-messages) / seconds,
	}, ctx.Err()
}

func (c *crowd) start(ctx context.Context) error {
	c.common = common.Discard()
	c.common.Settings.Identity.Daemon = nameOf(0)
	c.common.Settings.Identity.Centre = c.centreOf(0)
	c.directory = &directory.Directory{Clock: c.common.Clock}
	c.gossip = &gossip.Gossip{Common: c.common}
	for i := 1; i < c.plan.Members; i++ {
		m := c.memberOf(i)
		c.members = append(c.members, m)
		c.directory.Put(m)
	}
	c.sum = digest.Of(c.members)
	for _, s := range []service.Service{
		c.common.Clock,
		c.directory,
		&tail.Tail{Common: c.common, Log: &c.log},
		&relay.Relay{Common: c.common},
		&peers{crowd: c},
		c.gossip,
		&force.Force{Common: c.common},
		&confirm.Confirm{Common: c.common},
		&permit.Manager{Common: c.common},
		&rosterproposer.Proposer{Common: c.common, Log: &c.log},
		&lender.Lender{Common: c.common},
		&limit.Limiter{Common: c.common},
	} {
		c.kernel.Add(s)
	}
	if err := c.kernel.Start(ctx); err != nil {
		return err
	}
	return c.publish(ctx)
}

// publish appends the roster of all members.
func (c *crowd) publish(ctx context.Context) error {
	change, _ := rosterplan.Compute(roster.Roster{}, append([]member.Member{c.gossip.LocalMember()}, c.members...))
	data, err := record.Encode(change)
	if err != nil {
		return err
	}
	at, err := c.log.Append(ctx, platformlog.Settings, data)
	c.at.Store(uint64(at))
	return err
}

// position is the offset that all members have read.
func (c *crowd) position() ids.Offset { return ids.Offset(c.at.Load()) }
