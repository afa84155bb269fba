package crowd

import (
	"fmt"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
)

func nameOf(i int) ids.Daemon { return ids.Daemon(fmt.Sprintf("vm%05d", i)) }

func (c *crowd) centreOf(i int) ids.Centre {
	return ids.Centre(fmt.Sprintf("centre-%02d", i%max(1, c.plan.Centres)))
}

// memberOf describes a member with its targets.
func (c *crowd) memberOf(i int) member.Member {
	m := member.Member{
		Daemon:      nameOf(i),
		Incarnation: ids.Incarnation(1_700_000_000_000_000_000 + i),
		Version:     1,
		Peers:       ids.Address(fmt.Sprintf("10.1.%d.%d:7300", i/256, i%256)),
		Operators:   ids.Address(fmt.Sprintf("10.1.%d.%d:7301", i/256, i%256)),
		Centre:      c.centreOf(i),
	}
	for n := range c.plan.Targets {
		k := i*c.plan.Targets + n
		m.Targets = append(m.Targets, member.Target{
			ID:      ids.Target(fmt.Sprintf("target-%05d", k)),
			Service: ids.Service(fmt.Sprintf("team%02d/service%03d", k%23, k%max(1, c.plan.Services))),
			Slots:   4,
		})
	}
	return m
}
