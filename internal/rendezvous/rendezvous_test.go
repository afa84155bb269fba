package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
)

// Things spread evenly, and a daemon that leaves moves only its own.
func TestTop(t *testing.T) {
	const things, daemons = 10000, 50
	var all []ids.Daemon
	for i := range daemons {
		all = append(all, ids.Daemon(fmt.Sprint("vm", i)))
	}
	count := map[ids.Daemon]int{}
	for i := range things {
		thing := fmt.Sprint("account/", i)
		top := rendezvous.Top(thing, all, 2)[0]
		count[top]++
		if top != all[0] {
			must.EqOp(t, top, rendezvous.Top(thing, all[1:], 1)[0])
		}
	}
	for _, n := range count {
		must.Between(t, things/daemons*7/10, n, things/daemons*13/10)
	}
	must.MapLen(t, daemons, count)
}
