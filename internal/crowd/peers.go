package crowd

import (
	"context"
	"io"
	"maps"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/digest"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/wire"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// peers stands in for the network and answers as healthy peers do.
type peers struct{ crowd *crowd }

// Name implements service.Service.
func (p *peers) Name() service.Name { return "dial" }

// Needs implements service.Service.
func (p *peers) Needs() []service.Name { return nil }

// Start implements service.Service.
func (p *peers) Start(context.Context, service.Finder) error { return nil }

// Stop implements service.Service.
func (p *peers) Stop(context.Context) error { return nil }

// Call implements peer.Caller.
func (p *peers) Call(ctx context.Context, _ ids.Daemon, m message.Message) (message.Message, error) {
	c := p.crowd
	c.count(m)
	reply, err := c.answer(ctx, m)
	if err == nil {
		c.count(reply)
	}
	return reply, err
}

// Send implements peer.Caller.
func (p *peers) Send(context.Context, ids.Daemon, call.Head, io.Reader) (*call.Answer, error) {
	return nil, errorx.UnsupportedOperation.New("the crowd serves no requests")
}

func (c *crowd) answer(ctx context.Context, m message.Message) (message.Message, error) {
	at := c.position()
	switch m := m.(type) {
	case message.Announce:
		return message.AnnounceReply{}, nil
	case message.Probe:
		return message.Probed{Reached: true}, nil
	case message.LeaseQuery:
		return message.LeaseStatus{Incarnation: 1, Seen: at, Confirmed: true, LeaseOffset: at, InForce: at}, nil
	case message.Pull:
		return c.records(ctx, m)
	default:
		return nil, errorx.UnsupportedOperation.New("no stand-in for %T", m)
	}
}

// records answers as a reader of the log does.
func (c *crowd) records(ctx context.Context, m message.Pull) (message.Message, error) {
	const limit = 32
	page, err := c.log.Read(ctx, platformlog.Settings, m.From, limit, m.Wait)
	if err != nil {
		return nil, err
	}
	reply := message.Records{First: page.First, Last: page.Last, CaughtUp: true}
	for _, item := range page.Items {
		reply.Items = append(reply.Items, message.Item{At: item.At, Data: item.Data})
	}
	return reply, nil
}

// count encodes a message and adds it to the totals.
func (c *crowd) count(m message.Message) {
	data, err := wire.Encode(m)
	c.common.Invariant.Check(err == nil, "a message can't be encoded")
	c.bytes.Add(int64(len(data)))
	c.messages.Add(1)
}

const (
	nearPeers   = 3
	compareTime = 5 * time.Second
)

// send hands the daemon what its peers send: a probe from each near peer in each
// second, and a comparison from each peer in each compareTime.
func (c *crowd) send(ctx context.Context) {
	all := nearPeers
	for step := 8; step < c.plan.Members; step *= 2 {
		all++
	}
	probe := c.common.Clock.Every(time.Second / nearPeers)
	defer probe.Stop()
	compare := c.common.Clock.Every(compareTime / time.Duration(all))
	defer compare.Stop()
	for {
		select {
		case <-probe.C:
			c.hear(message.Announce{})
		case <-compare.C:
			c.hear(message.Announce{Digest: c.digest()})
		case <-ctx.Done():
			return
		}
	}
}

func (c *crowd) hear(a message.Announce) {
	c.count(a)
	c.count(c.gossip.HandleAnnounce(a))
}

// change renews the description of one member after the other.
func (c *crowd) change(ctx context.Context) {
	rate := changesPerDay * float64(c.plan.Members) / day.Seconds()
	tick := c.common.Clock.Every(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-tick.C:
			c.hear(message.Announce{Members: []member.Member{c.renew(i % len(c.members))}})
		case <-ctx.Done():
			return
		}
	}
}

// renew gives a member its next version.
func (c *crowd) renew(i int) member.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sum.Toggle(c.members[i])
	c.members[i].Version++
	c.sum.Toggle(c.members[i])
	return c.members[i]
}

// digest sums up the members as the stand-ins know them.
func (c *crowd) digest() digest.Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := maps.Clone(c.sum)
	all.Toggle(c.gossip.LocalMember())
	return all
}
