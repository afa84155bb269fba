package directory_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/units"
)

// vm describes a daemon with one target.
func vm(id ids.Daemon, version uint64, target member.Target) member.Member {
	target.ID, target.Service = ids.Target("t-"+id), "a/pay"
	return member.Member{Daemon: id, Incarnation: 1, Version: version, Targets: []member.Target{target}}
}

func names(list []directory.Candidate) []ids.Daemon {
	var all []ids.Daemon
	for _, c := range list {
		all = append(all, c.Daemon)
	}
	return all
}

func TestTargets(t *testing.T) {
	cases := []struct {
		name   string
		change func(d *directory.Directory)
		want   []ids.Daemon
	}{
		{"all serve", func(*directory.Directory) {}, []ids.Daemon{"vm1", "vm2"}},
		{"one leaves", func(d *directory.Directory) { d.Put(vm("vm1", 2, member.Target{Leaving: true})) }, []ids.Daemon{"vm2"}},
		{"one is ejected", func(d *directory.Directory) { d.Put(vm("vm1", 2, member.Target{Ejected: true})) }, []ids.Daemon{"vm2"}},
		{"one is lost", func(d *directory.Directory) { d.MarkUnreachable("vm1") }, []ids.Daemon{"vm2"}},
		{"all are lost", func(d *directory.Directory) { d.MarkUnreachable("vm1"); d.MarkUnreachable("vm2") }, []ids.Daemon{"vm1", "vm2"}},
		{"a lost one shows itself", func(d *directory.Directory) { d.MarkUnreachable("vm1"); d.Put(vm("vm1", 2, member.Target{})) }, []ids.Daemon{"vm2", "vm1"}},
		{"an old description comes late", func(d *directory.Directory) {
			d.Put(vm("vm1", 3, member.Target{Leaving: true}))
			d.Put(vm("vm1", 2, member.Target{}))
		}, []ids.Daemon{"vm2"}},
		{"one restarted with another target", func(d *directory.Directory) {
			m := vm("vm1", 1, member.Target{})
			m.Incarnation, m.Targets[0].Service = 2, "a/quote"
			d.Put(m)
		}, []ids.Daemon{"vm2"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var d directory.Directory
			d.Put(vm("vm1", 1, member.Target{}))
			d.Put(vm("vm2", 1, member.Target{}))
			c.change(&d)
			must.Eq(t, c.want, names(d.Targets("a/pay")))
		})
	}
}

// A daemon that left is evicted after a while. Old descriptions then do not add it
// again; a newer one does.
func TestForgetOld(t *testing.T) {
	var d directory.Directory
	gone := vm("vm1", 2, member.Target{})
	gone.Gone = true
	d.Put(gone)
	d.EvictExpired(units.Instant(time.Hour))
	must.SliceEmpty(t, d.Members())
	must.False(t, d.Put(vm("vm1", 1, member.Target{})))
	must.True(t, d.IsTombstoned(gone.Revision()))
	must.True(t, d.Put(vm("vm1", 3, member.Target{})))
	must.False(t, d.IsTombstoned(gone.Revision()))
}
